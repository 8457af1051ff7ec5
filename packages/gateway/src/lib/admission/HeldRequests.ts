import { type FairAccount, type FairItem, FairScheduler, IndexedHeap } from "@waxwingspar/policy/scheduling";
import { type ReturnClass } from "./ReturnSchedule.js";
import { type SlotDecision, type SlotRequest } from "./SlotRequest.js";

/** A request for a slot, and what decides on its place. */
export interface SlotOffer {
    readonly request: SlotRequest;
    readonly onDecision: (decision: SlotDecision) => void;
    readonly returned: ReturnClass;
    readonly account: FairAccount;
    readonly priority: number;
    /** Whether it goes before others of its priority and organisation. */
    readonly goesFirst: boolean;
    readonly isStarved: boolean;
}

/** A request that waits for a slot. */
export interface HeldRequest extends FairItem, SlotOffer {
    readonly since: number;
    readonly expires: number;
    /** Number of grants after which it was expected to get a slot, counted from the queue's first grant. */
    readonly expectedGrant: number;
}

/** Priority of "running" requests, above all ranks. */
export const runningPriority = 1;

/** Milliseconds after which a "running" request may exceed the room of a head. */
export const overrunDelay = 150;

/** Distance in `order` between requests that go first and others; above any number of requests. */
const orderDistance = 2 ** 50;

/**
 * The requests that wait for a slot of a pool, indexed by order of service, by time, and by what makes one go out of
 * turn. Under overload some hundred requests a second are added and removed, each in O(log n).
 */
export class HeldRequests {
    private readonly scheduler = new FairScheduler<HeldRequest>();
    private readonly requests = new Map<string, HeldRequest>();
    /** By the time of the next check. */
    private readonly checks = new IndexedHeap<HeldRequest>();
    /** Requests of starved kinds and organisations, by rank. */
    private readonly starved = new IndexedHeap<HeldRequest>();
    /** "Running" requests that may exceed the room of a head. */
    private readonly overrunning = new Set<HeldRequest>();
    /** Number of requests by head on which they may run. */
    private readonly byHead = new Map<string, number>();
    /** Number of requests that go first, by priority and organisation. */
    private readonly goingFirst = new Map<string, number>();
    private added = 0;

    get size(): number {
        return this.requests.size;
    }

    get starvedSize(): number {
        return this.starved.size;
    }

    /** Time at which a request is to be checked next; infinite if none waits. */
    get nextCheck(): number {
        return this.checks.lowestRank();
    }

    get(id: string): HeldRequest | undefined {
        return this.requests.get(id);
    }

    add(offer: SlotOffer, times: Pick<HeldRequest, "since" | "expires" | "expectedGrant">): void {
        const { request, priority, goesFirst, isStarved, account } = offer;
        const { id } = request;
        const order = this.added++ + (goesFirst ? 0 : orderDistance);
        const held: HeldRequest = { ...offer, ...times, id, order };
        const isRunning = priority === runningPriority;
        this.requests.set(id, held);
        this.scheduler.add(held);
        this.checks.set(id, isRunning ? Math.min(held.expires, held.since + overrunDelay) : held.expires, held);
        if (isStarved && !isRunning) {
            this.starved.set(id, request.rank, held);
        }
        request.heads.forEach(head => changeCount(this.byHead, head, 1));
        if (goesFirst) {
            changeCount(this.goingFirst, flowOf(account, priority), 1);
        }
    }

    remove(held: HeldRequest): void {
        const { id, request, goesFirst, account, priority } = held;
        this.requests.delete(id);
        this.scheduler.remove(held);
        this.checks.delete(id);
        this.starved.delete(id);
        this.overrunning.delete(held);
        request.heads.forEach(head => changeCount(this.byHead, head, -1));
        if (goesFirst) {
            changeCount(this.goingFirst, flowOf(account, priority), -1);
        }
    }

    /** Charges an organisation for a slot. A waiting request is removed afterwards. */
    charge(account: FairAccount, priority: number): void {
        this.scheduler.start(account, priority, 1);
    }

    /** Whether a request waits for a head on which slots are free. */
    isAwaited(isFree: (head: string) => boolean): boolean {
        for (const head of this.byHead.keys()) {
            if (isFree(head)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the next request in order of service. */
    next(isEligible: (held: HeldRequest) => boolean): HeldRequest | undefined {
        return this.scheduler.next(() => true, isEligible);
    }

    /** Returns the most urgent request that is still starved. */
    nextStarved(isStarved: (held: HeldRequest) => boolean): HeldRequest | undefined {
        for (let next = this.starved.peek(); next !== undefined; next = this.starved.peek()) {
            if (isStarved(next)) {
                return next;
            }
            this.starved.pop();
        }
        return undefined;
    }

    /** "Running" requests that may exceed the room of a head, earliest first. */
    get mayOverrun(): Iterable<HeldRequest> {
        return this.overrunning;
    }

    /** Returns a request whose time has come: it expires, or may exceed the room of a head from now on. */
    findDue(now: number): HeldRequest | undefined {
        return this.nextCheck <= now ? this.checks.peek() : undefined;
    }

    allowOverrun(held: HeldRequest): void {
        this.overrunning.add(held);
        this.checks.set(held.id, held.expires, held);
    }

    /** Estimates the place of a new request; 1 means that it is served next. */
    position(offer: Pick<SlotOffer, "account" | "priority" | "goesFirst">): number {
        const { account, priority, goesFirst } = offer;
        const ahead = goesFirst ? this.goingFirst.get(flowOf(account, priority)) ?? 0 : undefined;
        return this.scheduler.queuePosition(account, priority, ahead);
    }

    /** Finds the request that gives way to a new one; undefined if the new one is less urgent. */
    findToDisplace(account: FairAccount, priority: number): HeldRequest | undefined {
        const displaced = this.scheduler.findItemToDisplace(account, priority);
        return displaced?.priority === runningPriority ? undefined : displaced;
    }
}

function flowOf(account: FairAccount, priority: number): string {
    return `${priority} ${account.name}`;
}

function changeCount(counts: Map<string, number>, key: string, change: number): void {
    const count = (counts.get(key) ?? 0) + change;
    if (count === 0) {
        counts.delete(key);
    }
    else {
        counts.set(key, count);
    }
}
