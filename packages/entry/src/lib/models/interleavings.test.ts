import { trace } from "@opentelemetry/api";
import { type Claim, type FinalOutcome } from "@waxwingspar/claims";
import { StaticConfiguration } from "@waxwingspar/config";
import { checkHistory, type HistoryEvent, type HistoryLine } from "@waxwingspar/history";
import { createRetryBudget } from "@waxwingspar/policy";
import { type Failure, failure, ManualClock, requestCodes, seededRandom } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import test from "node:test";
import { entryLimitsSchema } from "../EntryLimits.js";
import { noMetrics } from "../EntryMetrics.js";
import { AgentLinks } from "../links/AgentLinks.js";
import { ClaimBinding } from "../links/ClaimBinding.js";
import { FakeLinkPool } from "../testing/FakeAgents.js";
import { FakeClaims } from "../testing/FakeClaims.js";
import { FakeRouter } from "../testing/FakeRouter.js";
import { SimulatedHead } from "../testing/SimulatedHead.js";
import { targetResource } from "../testing/TestSite.js";
import { type ModelRequest } from "./ModelRequest.js";
import { RequestRun } from "./RequestRun.js";

const maxTokens = 5;
const whole = Array.from({ length: maxTokens }, (_, position) => ` ${position}`).join("");

/** A simulation of several entries and heads with one idempotency key, whose events are recorded in one history. */
class Simulation {
    readonly clock = new ManualClock();
    readonly answers: Answer[] = [];
    readonly heads: readonly SimulatedHead[];
    private readonly lines: HistoryLine[] = [];
    private readonly sequences = new Map<string, number>();
    private readonly claims = new FakeClaims();
    private readonly configuration = new StaticConfiguration();
    private restarts = 0;
    /** The final outcomes that heads stored when they left, by incarnation. */
    private readonly finalOutcomes = new Map<string, (claim: string) => FinalOutcome>();

    constructor() {
        this.heads = [1, 2, 3].map(index => {
            const target = `target-${index}`;
            const head: SimulatedHead = new SimulatedHead(target, this.clock, index, event => {
                this.record(target, head.agent.incarnation, event);
            });
            return head;
        });
        this.configuration.set(this.heads.map(({ agent }) => targetResource(agent)));
    }

    /** Sends a request to a new entry. */
    send(entry: string, claimed: boolean): void {
        const id = `request-${this.answers.length}`;
        const history = (event: HistoryEvent) => this.record(entry, entry, event);
        const agents = this.heads.map(({ agent }) => agent);
        const router = new FakeRouter(agents.map(({ target, address }) => [{ target, ...address, first: 0, last: 1 }]));
        const links = new AgentLinks({ links: new FakeLinkPool(agents), router });
        const request = toRequest(id, this.clock.now(), claimed);
        const claimRequest = request.claim;
        const { clock, claims, configuration } = this;
        const findFinalOutcome = ({ id, runner }: Claim): Promise<FinalOutcome> =>
            Promise.resolve(this.finalOutcomes.get(runner.incarnation)?.(id) ?? { kind: "unknown" });
        const bindingOptions = { claims, links, configuration, findFinalOutcome };
        const answer = new Answer();
        history({
            event: "request.received",
            request: id,
            organisation: "ports",
            route: "demo",
            idempotent: !claimed,
            key: claimRequest?.key,
        });
        const tracer = trace.getTracer("test");
        answer.run = new RequestRun({
            request,
            sink: answer,
            links,
            router,
            retryBudget: createRetryBudget({ clock, random: seededRandom(1) }),
            clock,
            history,
            metrics: noMetrics,
            limits: entryLimitsSchema.parse({ creditWindow: 2 }),
            versions: { rank: () => ["1"] },
            tracer,
            span: tracer.startSpan("request"),
            binding: claimRequest === undefined ? undefined : new ClaimBinding({ ...bindingOptions, claimRequest }),
            onEnd: () => undefined,
        });
        this.answers.push(answer);
        answer.run.start();
    }

    restart(head: SimulatedHead): void {
        head.restart(`again-${this.restarts++}`);
    }

    /** Lets a head leave gracefully: stores the final outcomes of its claims and restarts it. */
    leave(head: SimulatedHead): void {
        this.finalOutcomes.set(head.agent.incarnation, head.finalOutcomes());
        this.restart(head);
    }

    /** Runs the simulation until every request has ended. */
    async finish(): Promise<void> {
        for (let step = 0; step < 60 && this.answers.some(answer => answer.ends === 0); step++) {
            this.heads.forEach(head => head.step());
            await this.clock.advanceAsync(20, 20);
        }
        await this.clock.advanceAsync(40_000, 10_000);
    }

    violations(): readonly string[] {
        for (const [name] of [...this.sequences]) {
            const [process = "", incarnation = ""] = name.split(" ");
            this.record(process, incarnation, { event: "history.closed" });
        }
        return checkHistory(this.lines).violations.map(({ rule, message }) => `${rule}: ${message}`);
    }

    private record(process: string, incarnation: string, body: HistoryEvent): void {
        const name = `${process} ${incarnation}`;
        const sequence = this.sequences.get(name) ?? 0;
        if (sequence === 0) {
            this.sequences.set(name, 1);
            const target = process.startsWith("target") ? process : undefined;
            this.lines.push({ process, incarnation, sequence, time: 0, body: { event: "process.started", target } });
            return this.record(process, incarnation, body);
        }
        this.sequences.set(name, sequence + 1);
        this.lines.push({ process, incarnation, sequence, time: this.clock.now(), body });
    }
}

/** The answer that one caller received. */
class Answer {
    run: RequestRun | undefined;
    text = "";
    ends = 0;
    failure: Failure | undefined;
    ready = true;

    write(texts: readonly string[]): boolean {
        this.text += texts.join("");
        return this.ready;
    }

    end(): void {
        this.ends++;
    }

    fail(cause: Failure): void {
        this.ends++;
        this.failure = cause;
    }
}

function toRequest(id: string, arrived: number, claimed: boolean): ModelRequest {
    const claim = { route: "demo", organisation: "ports", key: "draft-7", digest: "same", retention: 1000 };
    return {
        id,
        organisation: "ports",
        model: "demo",
        version: "1",
        adapter: undefined,
        layers: 2,
        activationBytes: 1,
        firstTokenBound: 540,
        priority: 5,
        prompt: "Hello",
        prefix: [],
        sampling: { maxTokens, stop: [] },
        arrived,
        deadline: arrived + 30_000,
        claim: claimed ? claim : undefined,
    };
}

type Action = (simulation: Simulation, head: SimulatedHead) => void;

const actions: Record<string, Action> = {
    step: (_, head) => head.step(),
    stepAll: simulation => simulation.heads.forEach(head => head.step()),
    repeat: (_, head) => head.repeat(),
    skip: (_, head) => head.skip(),
    refuse: (_, head) => head.refuse(requestCodes.overloaded),
    refuseFinally: (_, head) => head.refuse(requestCodes.limitReached),
    fail: (_, head) => head.fail(),
    cut: (_, head) => head.agent.cut(),
    restart: (simulation, head) => simulation.restart(head),
    leave: (simulation, head) => simulation.leave(head),
    pause: simulation => simulation.clock.advance(3000),
    slowCaller: simulation =>
        simulation.answers.forEach(answer => {
            answer.ready = false;
        }),
    callerReads: simulation =>
        simulation.answers.forEach(answer => {
            answer.ready = true;
            answer.run?.resume();
        }),
    callerLeaves: simulation =>
        simulation.answers[0]?.run?.cancel(failure(requestCodes.cancelled, "the caller went away")),
    duplicate: simulation =>
        simulation.answers.length < 4 ? simulation.send(`entry-${simulation.answers.length}`, true) : undefined,
};

async function runSimulation(claimed: boolean, script: readonly (readonly [string, number])[]): Promise<void> {
    const simulation = new Simulation();
    simulation.send("entry-0", claimed);
    for (const [name, index] of script) {
        const head = simulation.heads[index];
        if (head !== undefined && (claimed || name !== "duplicate")) {
            actions[name]?.(simulation, head);
        }
        await new Promise(resolve => setImmediate(resolve));
    }
    actions["callerReads"]?.(simulation, simulation.heads[0] as SimulatedHead);
    await simulation.finish();
    for (const answer of simulation.answers) {
        assert.equal(answer.ends, 1);
        assert.equal(whole.startsWith(answer.text), true, answer.text);
        assert.equal(answer.failure !== undefined || answer.text === whole, true);
    }
    assert.deepEqual(simulation.violations(), []);
}

const script = fc.array(fc.tuple(fc.constantFrom(...Object.keys(actions)), fc.nat(2)), { maxLength: 25 });

test("any interleaving keeps an idempotent answer whole", async () => {
    await fc.assert(fc.asyncProperty(script, steps => runSimulation(false, steps)), { numRuns: 1000 });
});

test("any interleaving runs a claimed request at most once", async () => {
    await fc.assert(fc.asyncProperty(script, steps => runSimulation(true, steps)), {
        numRuns: 1000,
        examples: [[[["step", 0], ["step", 0], ["duplicate", 0], ["refuseFinally", 0]]]],
    });
});
