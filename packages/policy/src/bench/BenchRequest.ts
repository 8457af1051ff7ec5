import { type Failure, requestCodes } from "@waxwingspar/utils";
import { type WorkItem } from "../lib/admission/WorkQueue.js";
import { type RetryBudget } from "../lib/retry/RetryBudget.js";
import { type RoutedAttempt } from "../lib/routing/Router.js";
import { type BenchEntry, type BenchWorld } from "./BenchWorld.js";
import { type FakeTarget } from "./FakeTarget.js";
import { fleet } from "./fleet.js";
import { type Arrival } from "./Traffic.js";

/** Bound on the time to first token, in milliseconds. */
const firstTokenBound = 540;
/** Bound on the time between tokens, in milliseconds. */
const tokenBound = 72;
/** The service-level objective allows one interval in twenty beyond the bound. */
const maxLateShare = 0.05;
/** Milliseconds from the arrival to the caller's deadline. */
const deadline = 30_000;
const maxAttempts = 4;
/** Number of tokens simulated by one event. */
const tokensPerEvent = 8;
/** Milliseconds until an entry detects a refused or lost connection. */
const connectionFailure = 1;
const tokensPerBlock = 64;

/** A running attempt. */
interface BenchSession {
    isOver: boolean;
    /** Number of leading blocks of the prompt that were cached on every stage. */
    readonly cached: number;
}

/**
 * A simulated request. It makes attempts on chains until one completes, the attempts or the retry budget are used up,
 * or the first-token bound has passed.
 *
 * @internal
 */
export class BenchRequest {
    private attempts = 0;
    private attemptedAt = 0;
    private produced = 0;
    private lateIntervals = 0;
    private firstTokenAt: number | undefined;
    private lastTokenAt = 0;
    private readonly exclude = new Set<string>();

    constructor(
        private readonly world: BenchWorld,
        private readonly entry: BenchEntry,
        private readonly arrival: Arrival,
    ) {}

    start(): void {
        this.world.measurement.arrived(this.arrival.time, this.arrival.organisation);
        this.budget.request();
        this.attempt();
    }

    private get budget(): RetryBudget {
        return this.entry.budgetOf(this.arrival.organisation);
    }

    private get now(): number {
        return this.world.clock.now();
    }

    private attempt(): void {
        this.attempts++;
        this.attemptedAt = this.now;
        this.world.measurement.attempts++;
        const routed = this.entry.router.choose({
            model: "assistant",
            version: "v1",
            layers: fleet.layers,
            activationBytes: fleet.activationBytes,
            prefix: this.arrival.prefix,
            exclude: this.exclude,
        });
        if (routed.isErr) {
            this.notRouted();
            return;
        }
        const [head, tail] = routed.value.stages.map(stage => this.world.target(stage.target)) as [
            FakeTarget,
            FakeTarget,
        ];
        const delay = this.world.entryDelay(this.entry, head);
        this.world.clock.schedule(() => this.open(routed.value, head, tail), delay);
    }

    private open(attempt: RoutedAttempt, head: FakeTarget, tail: FakeTarget): void {
        if (head.isDead) {
            this.lost(attempt, head);
            return;
        }
        const id = `${this.arrival.id}.${this.attempts}`;
        const queued = head.queue.offer({
            ...this.workItem(id, head),
            start: () => this.join(attempt, id, head, tail),
            refuse: reason => this.refused(attempt, head, reason),
        });
        if (queued.isErr) {
            this.refused(attempt, head, queued.error);
        }
    }

    /** Requests a slot of the tail after the head has granted one. */
    private join(attempt: RoutedAttempt, id: string, head: FakeTarget, tail: FakeTarget): void {
        const startedAt = this.now;
        const leaveHead = () => head.queue.finish(id, this.now - startedAt);
        this.world.clock.schedule(() => {
            if (tail.isDead) {
                leaveHead();
                this.lost(attempt, tail);
                return;
            }
            const refuse = (reason: Failure) => {
                leaveHead();
                this.refused(attempt, tail, reason);
            };
            const start = () => this.run(attempt, id, head, tail, startedAt);
            const joined = tail.queue.offer({ ...this.workItem(id, tail), start, refuse });
            if (joined.isErr) {
                refuse(joined.error);
            }
        }, this.world.hopDelay(head, tail));
    }

    private workItem(id: string, target: FakeTarget): Omit<WorkItem, "start" | "refuse"> {
        const { prefix, organisation } = this.arrival;
        const spent = this.now - this.arrival.time;
        return {
            id,
            organisation: `organisation-${organisation}`,
            priority: 5,
            timeLeft: deadline - spent,
            startBound: firstTokenBound - spent,
            // An agent knows the cache contents of its own engine.
            cost: (prefix.length - target.cachedBlocks(prefix)) * tokensPerBlock,
        };
    }

    private run(attempt: RoutedAttempt, id: string, head: FakeTarget, tail: FakeTarget, headStart: number): void {
        const tailStart = this.now;
        const { prefix } = this.arrival;
        const cached = Math.min(head.cachedBlocks(prefix), tail.cachedBlocks(prefix));
        const session: BenchSession = { isOver: false, cached };
        const releaseSlots = () => {
            session.isOver = true;
            head.sessions.delete(session);
            tail.sessions.delete(session);
            head.queue.finish(id, this.now - headStart);
            tail.queue.finish(id, this.now - tailStart);
        };
        const fail = (target: FakeTarget) => {
            releaseSlots();
            this.lost(attempt, target);
        };
        if (head.isDead) {
            fail(head);
            return;
        }
        [head, tail].forEach(target => target.sessions.set(session, () => fail(target)));
        this.world.measurement.promptBlocks += prefix.length;
        this.world.measurement.cachedBlocks += cached;
        const later = (work: () => void, delay: number) =>
            this.world.clock.schedule(() => session.isOver || work(), delay);
        const hop = this.world.hopDelay(head, tail);
        later(() => {
            later(() => {
                [head, tail].forEach(target => target.store(prefix));
                head.queue.observe(this.now - headStart, undefined);
                tail.queue.observe(this.now - tailStart, undefined);
                this.firstToken(attempt, head);
                this.decode(attempt, head, tail, session, releaseSlots);
            }, tail.prefill(prefix.length - cached) + hop);
        }, hop + head.prefill(prefix.length - cached) + hop);
    }

    private firstToken(attempt: RoutedAttempt, head: FakeTarget): void {
        const at = this.now + this.world.entryDelay(this.entry, head);
        attempt.firstToken(at - this.attemptedAt);
        if (this.firstTokenAt === undefined) {
            this.firstTokenAt = at;
        }
        else {
            this.countIntervals(at - this.lastTokenAt, 1);
        }
        this.produced++;
        this.lastTokenAt = at;
    }

    private decode(
        attempt: RoutedAttempt,
        head: FakeTarget,
        tail: FakeTarget,
        session: BenchSession,
        releaseSlots: () => void,
    ): void {
        const left = this.arrival.tokens - this.produced;
        if (left <= 0) {
            releaseSlots();
            attempt.cached?.(session.cached);
            attempt.end("completed");
            this.budget.ended(true);
            this.finish(true);
            return;
        }
        const count = Math.min(tokensPerEvent, left);
        const hops = this.world.hopDelay(head, tail) + this.world.hopDelay(tail, head);
        const interval = head.tokenInterval() + tail.tokenInterval() + hops;
        this.world.clock.schedule(() => {
            if (session.isOver) {
                return;
            }
            for (let index = 0; index < count; index++) {
                head.queue.observe(undefined, interval);
                tail.queue.observe(undefined, interval);
                attempt.token(interval);
            }
            this.countIntervals(interval, count);
            this.produced += count;
            this.lastTokenAt = this.now;
            this.decode(attempt, head, tail, session, releaseSlots);
        }, interval * count);
    }

    private countIntervals(interval: number, count: number): void {
        this.world.measurement.interval(interval, count);
        this.lateIntervals += interval > tokenBound ? count : 0;
    }

    private lost(attempt: RoutedAttempt, target: FakeTarget): void {
        this.world.clock.schedule(() => {
            attempt.end("failed", target.spec.name);
            this.entry.router.unreachable(target.spec.name);
            this.budget.ended(false);
            this.retry(target, 0, "failed");
        }, connectionFailure);
    }

    private refused(attempt: RoutedAttempt, target: FakeTarget, reason: Failure): void {
        this.world.measurement.refusals++;
        const delay = this.world.entryDelay(this.entry, target);
        this.world.clock.schedule(() => {
            attempt.end("refused", target.spec.name);
            this.budget.ended(false);
            if (reason.code === requestCodes.limitReached) {
                this.finish(false);
                return;
            }
            this.retry(target, this.budget.backoff(this.attempts), "refused");
        }, delay);
    }

    private notRouted(): void {
        this.budget.ended(false);
        this.finish(false);
    }

    private retry(target: FakeTarget, delay: number, kind: "failed" | "refused"): void {
        this.exclude.add(target.spec.name);
        const isPastBound = this.firstTokenAt === undefined && this.now + delay - this.arrival.time >= firstTokenBound;
        if (this.attempts >= maxAttempts || isPastBound || !this.budget.spend(kind)) {
            this.finish(false);
            return;
        }
        this.world.measurement.retries++;
        this.world.clock.schedule(() => this.attempt(), delay);
    }

    private finish(isComplete: boolean): void {
        const firstToken = this.firstTokenAt === undefined ? undefined : this.firstTokenAt - this.arrival.time;
        const isInTime = firstToken !== undefined && firstToken <= firstTokenBound;
        this.world.measurement.ended({
            arrival: this.arrival.time,
            organisation: this.arrival.organisation,
            firstToken,
            isWithinBounds: isComplete && isInTime && this.lateIntervals <= maxLateShare * this.arrival.tokens,
        });
    }
}
