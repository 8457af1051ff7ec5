import { type FinalOutcome } from "@waxwingspar/claims";
import { type HistoryEvent } from "@waxwingspar/history";
import { type Message, type OpenMessage } from "@waxwingspar/transport";
import { type Clock, requestCodes, type ResultCode } from "@waxwingspar/utils";
import { FakeAgent } from "./FakeAgents.js";

/** The model's last layer. A single head runs all layers. */
const lastLayer = 1;
const promptTokens = 2;

interface Attempt {
    readonly open: OpenMessage;
    state: "waiting" | "running" | "ended";
    /** Number of tokens generated, including those of earlier attempts. */
    generated: number;
}

/**
 * A head that records its work and honours claims like a real agent. Its faults are limited to messages: it repeats,
 * skips and delays them when the test requests it.
 *
 * @internal
 */
export class SimulatedHead {
    readonly agent: FakeAgent;
    private attempts: Attempt[] = [];
    /** The request that runs under each claim, or undefined for a claim that was refused. */
    private claims = new Map<string, string | undefined>();

    constructor(target: string, clock: Clock, port: number, private readonly record: (event: HistoryEvent) => void) {
        this.agent = new FakeAgent(target, clock, port);
        this.agent.react = message => this.receive(message);
    }

    /** Starts the waiting attempts, and generates one more token for each running attempt. */
    step(): void {
        for (const attempt of this.attempts) {
            if (attempt.state === "waiting") {
                this.begin(attempt);
            }
            else if (attempt.state === "running") {
                this.generate(attempt);
            }
        }
    }

    /** Refuses the waiting attempts, except those whose claim may have run, which it never reports as not run. */
    refuse(code: ResultCode): void {
        for (const attempt of this.attempts.filter(({ state }) => state === "waiting")) {
            if (this.owner(attempt) === undefined) {
                this.refuseAttempt(attempt, code);
            }
        }
    }

    /** Fails the running attempts. */
    fail(): void {
        for (const attempt of this.attempts.filter(({ state }) => state === "running")) {
            attempt.state = "ended";
            this.send(attempt, requestCodes.engineFailed);
        }
    }

    /** Repeats the last tokens of every attempt that has run. */
    repeat(): void {
        for (const { open, generated, state } of this.attempts) {
            if (state !== "waiting" && generated > 0) {
                this.agent.tokens(open, Math.max(0, generated - 2), Math.min(2, generated));
            }
        }
    }

    /** Sends a token that was never generated, leaving a gap before it. */
    skip(): void {
        for (const { open, generated, state } of this.attempts) {
            if (state === "running") {
                this.agent.tokens(open, generated + 1, 1);
            }
        }
    }

    /** The final outcomes of its claims if it leaves now. Claims whose request has begun count as interrupted. */
    finalOutcomes(): (claim: string) => FinalOutcome {
        const claims = new Map(this.claims);
        return claim => ({ kind: claims.get(claim) === undefined ? "notRun" : "unknown" });
    }

    /** Simulates a crash and a restart without any state. */
    restart(incarnation: string): void {
        this.attempts = [];
        this.claims = new Map();
        this.agent.restart(incarnation);
    }

    private receive(message: Message): void {
        if (message.type === "open") {
            this.attempts.push({ open: message, state: "waiting", generated: message.produced.length });
        }
        if (message.type === "cancel") {
            this.attempts.filter(({ open }) => open.request === message.request && open.epoch === message.epoch)
                .forEach(attempt => {
                    attempt.state = "ended";
                });
        }
    }

    /** The request that runs or has run under an attempt's claim. */
    private owner({ open: { claim } }: Attempt): string | undefined {
        return claim === undefined ? undefined : this.claims.get(claim);
    }

    private begin(attempt: Attempt): void {
        const { request, epoch, claim, produced } = attempt.open;
        const owner = this.owner(attempt);
        if (claim !== undefined && this.claims.has(claim) && owner !== request) {
            this.refuseAttempt(attempt, owner === undefined ? requestCodes.overloaded : requestCodes.inProgress);
            return;
        }
        if (claim !== undefined) {
            this.claims.set(claim, request);
        }
        const { target } = this.agent;
        attempt.state = "running";
        this.record({ event: "work.accepted", request, epoch, target });
        this.record({ event: "prompt.read", request, epoch, tokens: promptTokens, layers: lastLayer + 1 });
        this.run(attempt, 0, promptTokens + produced.length);
        this.emit(attempt);
    }

    private generate(attempt: Attempt): void {
        this.run(attempt, promptTokens + attempt.generated - 1, 1);
        this.emit(attempt);
    }

    private emit(attempt: Attempt): void {
        const { open } = attempt;
        if (attempt.generated < open.sampling.maxTokens) {
            this.agent.tokens(open, attempt.generated, 1);
            attempt.generated++;
        }
        if (attempt.generated >= open.sampling.maxTokens) {
            attempt.state = "ended";
            this.agent.done(open, attempt.generated);
        }
    }

    private run({ open: { request, epoch } }: Attempt, position: number, count: number): void {
        const { target } = this.agent;
        const layers = { first: 0, last: lastLayer, version: "1" };
        this.record({ event: "layers.run", request, epoch, target, ...layers, position, count });
    }

    private refuseAttempt(attempt: Attempt, code: ResultCode): void {
        const { request, epoch, claim } = attempt.open;
        attempt.state = "ended";
        if (claim !== undefined && !this.claims.has(claim)) {
            this.claims.set(claim, undefined);
        }
        this.record({ event: "work.refused", request, epoch, target: this.agent.target, code: code.number });
        this.send(attempt, code);
    }

    private send({ open: { request, epoch } }: Attempt, code: ResultCode): void {
        const failure = { code: code.number, message: code.summary };
        this.agent.send({ type: "failed", request, epoch, failure, target: this.agent.target });
    }
}
