import { type FinalOutcome } from "@waxwingspar/claims";
import { type HistoryEvent } from "@waxwingspar/history";
import { type Message, type OpenMessage } from "@waxwingspar/transport";
import { type Clock, requestCodes, type ResultCode } from "@waxwingspar/utils";
import { FakeAgent } from "./FakeAgents.js";

/** Layers of the model, all of them run by one head. */
const lastLayer = 1;
const promptTokens = 2;

interface Attempt {
    readonly open: OpenMessage;
    state: "waiting" | "running" | "ended";
    /** Tokens that were drawn, with those of earlier attempts. */
    drawn: number;
}

/**
 * A head that records what it runs, as a real agent does, keeps the promises of claims, and misbehaves on the wire only:
 * it repeats, skips and delays messages when a test says so.
 *
 * @internal
 */
export class HonestHead {
    readonly agent: FakeAgent;
    private attempts: Attempt[] = [];
    /** The request that runs under each claim, or undefined for a claim that was refused. */
    private claims = new Map<string, string | undefined>();

    constructor(target: string, clock: Clock, port: number, private readonly record: (event: HistoryEvent) => void) {
        this.agent = new FakeAgent(target, clock, port);
        this.agent.react = message => this.take(message);
    }

    /** Starts what waits, and draws one more token of everything that runs. */
    step(): void {
        for (const attempt of this.attempts) {
            if (attempt.state === "waiting") {
                this.begin(attempt);
            }
            else if (attempt.state === "running") {
                this.draw(attempt);
            }
        }
    }

    /** Refuses what waits, but for claims that may have run: of these it never says that they did not. */
    refuse(code: ResultCode): void {
        for (const attempt of this.attempts.filter(({ state }) => state === "waiting")) {
            if (this.owner(attempt) === undefined) {
                this.refuseAttempt(attempt, code);
            }
        }
    }

    /** Fails what runs. */
    fail(): void {
        for (const attempt of this.attempts.filter(({ state }) => state === "running")) {
            attempt.state = "ended";
            this.send(attempt, requestCodes.engineFailed);
        }
    }

    /** Sends tokens again, of everything that ever ran. */
    repeat(): void {
        for (const { open, drawn, state } of this.attempts) {
            if (state !== "waiting" && drawn > 0) {
                this.agent.tokens(open, Math.max(0, drawn - 2), Math.min(2, drawn));
            }
        }
    }

    /** Sends a token that was never drawn, behind a gap. */
    skip(): void {
        for (const { open, drawn, state } of this.attempts) {
            if (state === "running") {
                this.agent.tokens(open, drawn + 1, 1);
            }
        }
    }

    /** What it writes down about its claims if it takes nothing more from now on. What has begun counts as cut off. */
    claimsLeft(): (claim: string) => FinalOutcome {
        const claims = new Map(this.claims);
        return claim => ({ kind: claims.get(claim) === undefined ? "notRun" : "unknown" });
    }

    /** Dies and starts again with an empty memory. */
    restart(incarnation: string): void {
        this.attempts = [];
        this.claims = new Map();
        this.agent.restart(incarnation);
    }

    private take(message: Message): void {
        if (message.type === "open") {
            this.attempts.push({ open: message, state: "waiting", drawn: message.produced.length });
        }
        if (message.type === "cancel") {
            this.attempts.filter(({ open }) => open.request === message.request && open.epoch === message.epoch)
                .forEach(attempt => {
                    attempt.state = "ended";
                });
        }
    }

    /** The request that runs or ran under an attempt's claim. */
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

    private draw(attempt: Attempt): void {
        this.run(attempt, promptTokens + attempt.drawn - 1, 1);
        this.emit(attempt);
    }

    private emit(attempt: Attempt): void {
        const { open } = attempt;
        if (attempt.drawn < open.sampling.maxTokens) {
            this.agent.tokens(open, attempt.drawn, 1);
            attempt.drawn++;
        }
        if (attempt.drawn >= open.sampling.maxTokens) {
            attempt.state = "ended";
            this.agent.done(open, attempt.drawn);
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
