import { requestCodes } from "@waxwingspar/utils";
import { randomUUID } from "node:crypto";
import { type HeldSlot, type SlotPool } from "../admission/SlotPool.js";
import { type SlotRefusal, type SlotRequest } from "../admission/SlotRequest.js";
import { incarnationOf, type Target } from "../directory/Target.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type Precedence } from "./precedence.js";
import { type RequestContext } from "./RequestContext.js";
import { rankOf } from "./sendPriority.js";

/** What a request may be sent to: a chain, or a target of a plain service. */
export interface SlotCandidate<Choice> {
    readonly choice: Choice;
    /** The target that the request is sent to, which has the slots. */
    readonly target: Target;
    /** Number of requests that it has room for; undefined if that is not known, so that no slot is needed. */
    readonly room: number | undefined;
}

/** What the issuer of a pool answered; undefined if the candidates need no slot. */
interface PoolAnswer<Choice> {
    readonly candidates: readonly SlotCandidate<Choice>[];
    readonly answer: HeldSlot | SlotRefusal | undefined;
}

/** What one send needs. */
export interface SlotNeed {
    readonly precedence: Precedence;
    /** Milliseconds for which the send may be held, over all data centres that are asked. */
    readonly maxHold: number;
}

/** Options of {@link SlotUse}. */
export interface SlotUseOptions<Choice> {
    readonly context: Pick<RequestContext, "clock" | "guard" | "isOn" | "slots">;
    readonly caller: Pick<CallerExchange, "digest" | "organisation" | "request" | "route" | "timeLeft">;
    /** Lists what the request may be sent to now, best first. */
    readonly list: () => Iterable<SlotCandidate<Choice>>;
}

/** Share of the latency target for which a new request may be held. */
const newHoldShare = 1 / 8;
/**
 * Maximum milliseconds for which a stream is held that has lost its chain. Callers abandon a stream that is silent for
 * two seconds, and its prompt must be processed again.
 */
const maxResumedHold = 1_200;
/**
 * Maximum milliseconds for which the second run of a stream whose chain is only suspected waits for a slot. The slots of
 * a lost chain are free only after its streams have moved, and other chains take them beyond their room after a while.
 */
export const maxSuspectedHold = 300;
/**
 * Maximum number of data centres that are asked for one send. Each further one costs a round trip between data centres,
 * and a refusal must be sent within an eighth of the latency target.
 */
const maxAsks = 3;

/** Why a request that got no slot is not sent. */
export const noSlotReason = "no slot is free in time";

/**
 * Returns the milliseconds for which a request that has not run may be held, from those since its arrival. It is never 0,
 * since only a request that may be held is promised a time to return.
 */
export function newRequestHold({ route, age }: Pick<CallerExchange, "route" | "age">): number {
    return Math.max(1, route.latencyTarget * newHoldShare - age);
}

/** Returns the milliseconds for which a stream that lost its chain may be held, of those that its caller still waits. */
export function resumedHold(patience: number): number {
    return Math.max(0, Math.min(maxResumedHold, patience));
}

/**
 * Refuses a request that got no slot and has not run. The time to return is named in full: a caller that came earlier
 * would wait behind the others.
 */
export function refuseWithoutSlot(caller: Pick<CallerExchange, "refuse">, { reason, retryAfter }: SlotRefusal): void {
    caller.refuse(requestCodes.noSlot, `${noSlotReason} (${reason})`, Math.ceil(retryAfter), true);
}

/**
 * Acquires the slot for each send of one request: from the data centre of the best candidate, then from the others. The
 * granted target decides the candidate. A slot that is granted after the request has ended is released immediately.
 */
export class SlotUse<Choice> {
    /** Identifies the send that waits for a slot; undefined if none does. */
    private waiting: object | undefined;
    /** A slot that no attempt uses yet. */
    private unused: HeldSlot | undefined;
    private lastRefusal: SlotRefusal | undefined;

    constructor(private readonly options: SlotUseOptions<Choice>) {}

    /** Whether a send waits for its slot; no other one may begin until it is decided. */
    get isWaiting(): boolean {
        return this.waiting !== undefined;
    }

    /** The last refusal, if the last send got no slot. */
    get refusal(): SlotRefusal | undefined {
        return this.lastRefusal;
    }

    /**
     * Calls `onGranted` with the candidate to send to, synchronously if a slot can be taken without asking another
     * gateway, or `onRefused` if there is none in time. Calls neither after {@link SlotUse.cancel}.
     */
    take(need: SlotNeed, onGranted: (candidate: SlotCandidate<Choice>) => void, onRefused: () => void): void {
        const { context, list } = this.options;
        this.cancel();
        this.lastRefusal = undefined;
        const [best] = list();
        if (best === undefined) {
            onRefused();
        }
        else if (best.room === undefined || !context.isOn("slot-admission")) {
            onGranted(best);
        }
        else {
            this.unused = context.slots.tryLocal(poolOf([best]));
            if (this.unused === undefined) {
                context.guard.watch("slot", this.ask(need, onGranted, onRefused));
            }
            else {
                onGranted(best);
            }
        }
    }

    /** Passes the slot to the attempt that uses it. @returns The function that releases it. */
    handOver(): () => void {
        const slot = this.unused;
        this.unused = undefined;
        return () => slot?.release();
    }

    /** Releases a slot that is not used, and makes a send that waits for one give up. */
    cancel(): void {
        this.waiting = undefined;
        this.unused?.release();
        this.unused = undefined;
    }

    private async ask(
        need: SlotNeed,
        onGranted: (candidate: SlotCandidate<Choice>) => void,
        onRefused: () => void,
    ): Promise<void> {
        const { clock } = this.options.context;
        const waiting = this.waiting = {};
        const end = clock.now() + need.maxHold;
        for await (const { candidates, answer: outcome } of this.askPools(need)) {
            if (this.waiting !== waiting) {
                releaseIfGranted(outcome);
                return;
            }
            if (outcome === undefined) {
                this.grant(candidates[0], onGranted, onRefused);
                return;
            }
            if (outcome.kind === "refused") {
                this.lastRefusal = outcome;
                continue;
            }
            const granted = this.findCandidate(outcome.head);
            if (granted !== undefined) {
                this.unused = outcome;
                this.grant(granted, onGranted, onRefused);
                return;
            }
            // The chain of the granted head broke while the request was held.
            outcome.release();
            return this.ask({ ...need, maxHold: Math.max(0, end - clock.now()) }, onGranted, onRefused);
        }
        if (this.waiting === waiting) {
            this.waiting = undefined;
            onRefused();
        }
    }

    /**
     * Asks the pools that are not known to be full for a slot that is free now, and then the one that is expected to
     * have a slot first to hold the request. With a single pool only the second question is useful.
     */
    private async *askPools({ precedence, maxHold }: SlotNeed): AsyncGenerator<PoolAnswer<Choice>> {
        const { context: { slots, clock }, caller } = this.options;
        const rank = rankOf(caller);
        const end = clock.now() + maxHold;
        const pools = this.listPools();
        const limited = pools.filter(([best]) => best?.room !== undefined);
        if (limited.length > 1 || maxHold === 0) {
            const open = limited.filter(pool => precedence === "running" || slots.fullFor(poolOf(pool), rank) === 0);
            for (const candidates of open.slice(0, maxAsks)) {
                yield await this.askPool(candidates, { precedence, maxHold: 0 });
            }
        }
        const unlimited = pools.find(([best]) => best?.room === undefined);
        if (unlimited !== undefined) {
            yield { candidates: unlimited, answer: undefined };
        }
        const waitFor = (pool: readonly SlotCandidate<Choice>[]) => slots.expectedWait(poolOf(pool), rank);
        const [soonest] = limited.toSorted((a, b) => waitFor(a) - waitFor(b));
        if (soonest !== undefined && maxHold > 0) {
            // At least 1 ms: a request that may not be held is promised no time to return.
            yield await this.askPool(soonest, { precedence, maxHold: Math.max(1, end - clock.now()) });
        }
    }

    private async askPool(
        candidates: readonly SlotCandidate<Choice>[],
        need: SlotNeed,
    ): Promise<PoolAnswer<Choice>> {
        const { slots } = this.options.context;
        const pool = poolOf(candidates);
        return { candidates, answer: slots.tryLocal(pool) ?? await slots.acquire(pool, this.describe(need)) };
    }

    private grant(
        candidate: SlotCandidate<Choice> | undefined,
        onGranted: (candidate: SlotCandidate<Choice>) => void,
        onRefused: () => void,
    ): void {
        this.waiting = undefined;
        if (candidate === undefined) {
            onRefused();
            return;
        }
        onGranted(candidate);
    }

    private findCandidate(head: string): SlotCandidate<Choice> | undefined {
        return [...this.options.list()].find(({ target }) => incarnationOf(target) === head);
    }

    /** Groups the candidates by data centre, each group and its members best first. One without slots is alone. */
    private listPools(): SlotCandidate<Choice>[][] {
        const pools = new Map<string | SlotCandidate<Choice>, SlotCandidate<Choice>[]>();
        for (const candidate of this.options.list()) {
            const key = candidate.room === undefined ? candidate : candidate.target.dataCentre;
            pools.set(key, [...pools.get(key) ?? [], candidate]);
        }
        return [...pools.values()];
    }

    private describe({ precedence, maxHold }: SlotNeed): Omit<SlotRequest, "heads"> {
        const { caller } = this.options;
        return {
            id: caller.request.id ?? randomUUID(),
            rank: rankOf(caller),
            organisation: caller.organisation?.name ?? "",
            kind: caller.route.name,
            precedence,
            maxHold,
            // What is left when it is refused, since the time to return is bounded by a part of it.
            timeLeft: Math.max(0, caller.timeLeft - maxHold),
            digest: caller.digest,
        };
    }
}

function poolOf(candidates: readonly SlotCandidate<unknown>[]): SlotPool {
    const [best] = candidates;
    return {
        service: best?.target.service ?? "",
        dataCentre: best?.target.dataCentre ?? "",
        heads: candidates.map(({ target, room = 0 }) => ({ id: incarnationOf(target), room })),
    };
}

function releaseIfGranted(outcome: HeldSlot | SlotRefusal | undefined): void {
    if (outcome?.kind === "granted") {
        outcome.release();
    }
}
