import { type FairAccount, type FairItem, FairScheduler, IndexedHeap } from "@waxwingspar/policy";
import { assert, type Clock, type Random, type Timer } from "@waxwingspar/utils";
import { type ReturnClass, ReturnSchedule } from "./ReturnSchedule.js";
import { SlotRates } from "./SlotRates.js";
import { type SlotDecision, type SlotRefusalReason, type SlotRequest } from "./SlotRequest.js";
import { StarvationFloors } from "./StarvationFloors.js";

/** Options of {@link SlotQueue}. */
export interface SlotQueueOptions {
    readonly clock: Clock;
    readonly random: Random;
    /**
     * Number of requests that a head can take now; negative while it has more than its room. It must count a grant as
     * soon as `onDecision` has been called.
     */
    readonly freeSlots: (head: string) => number;
    /**
     * Like `freeSlots`, for requests of precedence "running" that have waited for {@link overrunDelay}. By default
     * they do not exceed the room either.
     */
    readonly runningSlots?: (head: string) => number;
    /** Weight of an organisation among those of its rank. Default 1. */
    readonly weight?: (organisation: string) => number;
    /** Maximum number of waiting requests, which bounds memory while no rate is known. Default 1,000. */
    readonly maxWaiting?: number;
    /** Time constant in milliseconds of the rates at which slots become free and are granted. Default 1,000. */
    readonly rateTimeConstant?: number;
    /** Finds starved kinds and organisations. */
    readonly floors?: StarvationFloors;
    /** Decides when refused callers return. */
    readonly returns?: ReturnSchedule;
}

interface Offer {
    readonly request: SlotRequest;
    readonly onDecision: (decision: SlotDecision) => void;
    readonly returned: ReturnClass;
    readonly account: FairAccount;
    readonly priority: number;
    readonly isStarved: boolean;
}

interface Waiting extends FairItem, Offer {
    readonly since: number;
    readonly expires: number;
    /** Number of grants after which it was expected to get a slot, counted from the queue's first grant. */
    readonly expectedGrant: number;
}

/** The request that gets the next slot. */
interface Choice {
    readonly waiting: Waiting;
    readonly head: string;
    /** Whether a starved request goes before the order of the queue. */
    readonly isOutOfTurn: boolean;
}

/** Milliseconds after which a "running" request may exceed the room of a head. */
export const overrunDelay = 150;

/** Priority of "running" requests, above all ranks. */
const runningPriority = 1;
/** Smallest weight of an organisation, since shares are divided by weights. */
const minWeight = 0.001;
/** Distance in `order` between callers that returned when told and new ones; above any number of requests. */
const newCallerOrder = 2 ** 50;

/**
 * Decides which requests get the slots of one pool, which are held, and which are refused. It handles loads above the
 * capacity of the heads: at 1.5 times the capacity a third of all requests cannot be served, and without an order these
 * are taken from all ranks and organisations alike, after they have waited in the queues of targets.
 *
 * With 3 heads of 134 slots a slot becomes free every 5 to 10 ms, so a hold of an eighth of the latency target covers
 * about 10 places. Requests that would wait for longer are refused at once, since holding them serves nobody.
 */
export class SlotQueue {
    private readonly scheduler = new FairScheduler<Waiting>();
    private readonly requests = new Map<string, Waiting>();
    /** Waiting requests by the time of their next check. */
    private readonly checks = new IndexedHeap<Waiting>();
    /** Waiting requests of starved kinds and organisations, most urgent first. */
    private readonly starved = new IndexedHeap<Waiting>();
    /** "Running" requests that may exceed the room of a head. */
    private readonly overrunning = new Set<Waiting>();
    /** Number of waiting requests by head on which they may run. */
    private readonly waitingByHead = new Map<string, number>();
    /** Number of waiting callers that returned when told, by priority and organisation. */
    private readonly returnedAhead = new Map<string, number>();
    private readonly accounts = new Map<string, { readonly name: string; weight: number; }>();
    private readonly rates: SlotRates;
    private readonly floors: StarvationFloors;
    private readonly returns: ReturnSchedule;
    private offered = 0;
    private granted = 0;
    private isUpdating = false;
    private needsUpdate = false;
    private timer: { readonly due: number; readonly timer: Timer; } | undefined;

    constructor(private readonly options: SlotQueueOptions) {
        const { clock, random } = options;
        this.rates = new SlotRates(options);
        this.floors = options.floors ?? new StarvationFloors({ clock });
        this.returns = options.returns ?? new ReturnSchedule({ clock, random, freedRate: () => this.rates.freedRate });
    }

    /** Number of requests that are held. */
    get waiting(): number {
        return this.requests.size;
    }

    /** Calls `onDecision` exactly once: immediately, or when the request is granted, displaced or out of time. */
    offer(request: SlotRequest, onDecision: (decision: SlotDecision) => void): void {
        assert(!this.requests.has(request.id), `request ${request.id} is already waiting`);
        this.update();
        const returned = this.returns.classify(request.digest);
        const head = this.findHead(request, this.options.freeSlots);
        // Before the request is counted: a kind's first request is not starved.
        const isStarved = head === undefined && returned !== "early" && this.floors.isStarved(request);
        if (returned === "new") {
            this.returns.noteFirstAttempt(request.rank);
            this.floors.noteRequested(request);
        }
        const account = this.account(request.organisation);
        const priority = priorityOf(request, returned);
        if (head === undefined) {
            this.hold({ request, onDecision, returned, account, priority, isStarved });
            return;
        }
        this.noteGranted(request, account, priority, false);
        onDecision({ kind: "granted", head, held: 0 });
    }

    /** Forgets a request whose caller has left. Its `onDecision` is not called. */
    cancel(id: string): void {
        const waiting = this.requests.get(id);
        if (waiting !== undefined) {
            this.remove(waiting);
        }
    }

    /** Grants slots that have become free, and refuses requests whose time is up. */
    update(): void {
        if (this.isUpdating) {
            this.needsUpdate = true;
            return;
        }
        this.isUpdating = true;
        try {
            do {
                this.needsUpdate = false;
                this.grantAll();
                this.refuseExpired();
            }
            while (this.needsUpdate);
        }
        finally {
            this.isUpdating = false;
        }
        this.armTimer();
    }

    /**
     * Records that slots have been freed, to estimate the rate at which slots become free. Slots that are used again
     * without this queue must not be counted, or requests are held in vain.
     */
    noteFreed(count: number): void {
        this.rates.noteFreed(count);
    }

    /** Holds a request that no head can take now, or refuses it if no slot is expected in time. */
    private hold(offer: Offer): void {
        const { request, onDecision, returned, account, priority, isStarved } = offer;
        const position = this.position(account, priority, returned);
        const hold = Math.min(request.maxHold, request.timeLeft);
        const wait = this.rates.expectedWait(position, priority);
        const starvedWait = isStarved ? this.expectedStarvedWait() : Infinity;
        const mayWait = request.precedence === "running" || wait === undefined || Math.min(wait, starvedWait) <= hold;
        if (hold <= 0 || !mayWait || !this.makeRoom(account, priority)) {
            const reason = returned === "early" ? "early" : "full";
            onDecision(this.refusal(request, reason, 0, Math.min(wait ?? 0, starvedWait)));
            return;
        }
        const since = this.options.clock.now();
        this.add({
            ...offer,
            id: request.id,
            order: this.offered++ + (returned === "asTold" ? 0 : newCallerOrder),
            since,
            expires: since + hold,
            expectedGrant: this.granted + position,
        });
    }

    private grantAll(): void {
        const now = this.options.clock.now();
        for (let next = this.findNext(); next !== undefined; next = this.findNext()) {
            const { waiting, head, isOutOfTurn } = next;
            // Charge before the request is removed, while its organisation still counts as backlogged.
            this.noteGranted(waiting.request, waiting.account, waiting.priority, isOutOfTurn);
            this.remove(waiting);
            waiting.onDecision({ kind: "granted", head, held: now - waiting.since });
        }
    }

    private findNext(): Choice | undefined {
        const hasFree = this.hasFreeHead();
        const now = this.options.clock.now();
        const isEligible = (waiting: Waiting) =>
            now <= waiting.expires && this.findHead(waiting.request, this.options.freeSlots) !== undefined;
        const regular = hasFree ? this.scheduler.next(() => true, isEligible) : undefined;
        const starved = hasFree && regular?.priority !== runningPriority ? this.findStarved(isEligible) : undefined;
        const waiting = starved ?? regular;
        if (waiting === undefined) {
            return this.findOverrun();
        }
        const head = this.findHead(waiting.request, this.options.freeSlots)!;
        return { waiting, head, isOutOfTurn: starved !== undefined && starved !== regular };
    }

    /** Finds the starved request that goes first, if it is the turn of one. */
    private findStarved(isEligible: (waiting: Waiting) => boolean): Waiting | undefined {
        if (!this.floors.isDue) {
            return undefined;
        }
        for (let next = this.starved.peek(); next !== undefined; next = this.starved.peek()) {
            if (this.floors.isStarved(next.request)) {
                return isEligible(next) ? next : undefined;
            }
            this.starved.pop();
        }
        return undefined;
    }

    private findOverrun(): Choice | undefined {
        for (const waiting of this.overrunning) {
            const head = this.findHead(waiting.request, this.options.runningSlots ?? this.options.freeSlots);
            if (head !== undefined) {
                return { waiting, head, isOutOfTurn: false };
            }
        }
        return undefined;
    }

    private hasFreeHead(): boolean {
        for (const head of this.waitingByHead.keys()) {
            if (this.options.freeSlots(head) > 0) {
                return true;
            }
        }
        return false;
    }

    private findHead(request: SlotRequest, slots: (head: string) => number): string | undefined {
        return request.heads.find(head => slots(head) > 0);
    }

    private noteGranted(request: SlotRequest, account: FairAccount, priority: number, isOutOfTurn: boolean): void {
        this.granted++;
        this.scheduler.start(account, priority, 1);
        this.rates.noteGranted(priority, isOutOfTurn);
        this.floors.noteGranted(request, isOutOfTurn);
        this.returns.forget(request.digest);
    }

    /** Refuses requests whose time is up, and lets "running" ones exceed the room of a head. */
    private refuseExpired(): void {
        const now = this.options.clock.now();
        while (this.checks.lowestRank() <= now) {
            const waiting = this.checks.peek()!;
            if (now >= waiting.expires) {
                const isDisplaced = this.granted >= waiting.expectedGrant;
                this.refuse(waiting, isDisplaced ? "displaced" : "full");
            }
            else {
                this.overrunning.add(waiting);
                this.checks.set(waiting.id, waiting.expires, waiting);
                this.needsUpdate = true;
            }
        }
    }

    private refuse(waiting: Waiting, reason: SlotRefusalReason): void {
        const { request, returned, priority, account, since } = waiting;
        this.remove(waiting);
        const position = this.position(account, priority, returned);
        const wait = this.rates.expectedWait(position, priority) ?? 0;
        const held = this.options.clock.now() - since;
        waiting.onDecision(this.refusal(request, returned === "early" ? "early" : reason, held, wait));
    }

    private refusal(request: SlotRequest, reason: SlotRefusalReason, held: number, wait: number): SlotDecision {
        const { digest, rank } = request;
        const timeLeft = request.timeLeft - held;
        return { kind: "refused", reason, retryAfter: this.returns.refuse({ digest, rank, timeLeft }, wait), held };
    }

    /** Makes a place in a full queue. @returns False if the new request is the one to refuse. */
    private makeRoom(account: FairAccount, priority: number): boolean {
        if (this.requests.size < (this.options.maxWaiting ?? 1_000)) {
            return true;
        }
        const displaced = this.scheduler.findItemToDisplace(account, priority);
        if (displaced === undefined || displaced.priority === runningPriority) {
            return false;
        }
        this.refuse(displaced, "displaced");
        return true;
    }

    private position(account: FairAccount, priority: number, returned: ReturnClass): number {
        const ahead = returned === "asTold" ? this.returnedAhead.get(flowOf(account, priority)) ?? 0 : undefined;
        return this.scheduler.queuePosition(account, priority, ahead);
    }

    private expectedStarvedWait(): number {
        return (this.starved.size + 1) * this.floors.period / (this.rates.freedRate ?? 0);
    }

    private add(waiting: Waiting): void {
        const { id, priority, request, returned, isStarved, since, expires } = waiting;
        this.requests.set(id, waiting);
        this.scheduler.add(waiting);
        const isRunning = priority === runningPriority;
        this.checks.set(id, isRunning ? Math.min(expires, since + overrunDelay) : expires, waiting);
        if (isStarved && !isRunning) {
            this.starved.set(id, request.rank, waiting);
        }
        request.heads.forEach(head => changeCount(this.waitingByHead, head, 1));
        if (returned === "asTold") {
            changeCount(this.returnedAhead, flowOf(waiting.account, priority), 1);
        }
        this.armTimer();
    }

    private remove(waiting: Waiting): void {
        const { id, request, returned, account, priority } = waiting;
        this.requests.delete(id);
        this.scheduler.remove(waiting);
        this.checks.delete(id);
        this.starved.delete(id);
        this.overrunning.delete(waiting);
        request.heads.forEach(head => changeCount(this.waitingByHead, head, -1));
        if (returned === "asTold") {
            changeCount(this.returnedAhead, flowOf(account, priority), -1);
        }
    }

    private account(organisation: string): FairAccount {
        const weight = Math.max(minWeight, this.options.weight?.(organisation) ?? 1);
        let account = this.accounts.get(organisation);
        if (account === undefined) {
            account = { name: organisation, weight };
            this.accounts.set(organisation, account);
        }
        account.weight = weight;
        return account;
    }

    private armTimer(): void {
        const due = this.checks.lowestRank();
        if (due === Infinity || (this.timer !== undefined && this.timer.due <= due)) {
            return;
        }
        const { clock } = this.options;
        this.timer?.timer.cancel();
        const timer = clock.schedule(() => {
            this.timer = undefined;
            this.update();
        }, due - clock.now());
        this.timer = { due, timer };
    }
}

/** Callers that returned early come last in their rank, but before the next one. */
function priorityOf({ precedence, rank }: SlotRequest, returned: ReturnClass): number {
    if (precedence === "running") {
        return runningPriority;
    }
    return returned === "early" ? -2 * rank - 1 : -2 * rank;
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
