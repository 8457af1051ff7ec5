import { type FairAccount } from "@waxwingspar/policy/scheduling";
import { assert, type Clock, type Random, type Timer } from "@waxwingspar/utils";
import { type HeldRequest, HeldRequests, runningPriority, type SlotOffer } from "./HeldRequests.js";
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
     * Like `freeSlots`, for requests of precedence "running" that have waited for `overrunDelay`. By default
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

/** The request that gets the next slot. */
interface Choice {
    readonly waiting: HeldRequest;
    readonly head: string;
    /** Whether a starved request goes before the order of the queue. */
    readonly isOutOfTurn: boolean;
}

/** Largest expected wait that is told, in milliseconds: the longest deadline of a caller. */
const maxExpectedWait = 20_000;
/** Smallest weight of an organisation, since shares are divided by weights. */
const minWeight = 0.001;

/**
 * Decides which requests get the slots of one pool, which are held, and which are refused. It handles loads above the
 * capacity of the heads: at 1.5 times the capacity a third of all requests cannot be served, and without an order these
 * are taken from all ranks and organisations alike, after they have waited in the queues of targets.
 *
 * With 3 heads of 134 slots a slot becomes free every 5 to 10 ms, so a hold of an eighth of the latency target covers
 * about 10 places. Requests that would wait for longer are refused at once, since holding them serves nobody.
 */
export class SlotQueue {
    private readonly held = new HeldRequests();
    private readonly accounts = new Map<string, { readonly name: string; weight: number; }>();
    private readonly rates: SlotRates;
    private readonly floors: StarvationFloors;
    private readonly returns: ReturnSchedule;
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
        return this.held.size;
    }

    /** Slots that become free per millisecond; undefined while unknown. */
    get freedRate(): number | undefined {
        return this.rates.freedRate;
    }

    /** Calls `onDecision` exactly once: immediately, or when the request is granted, displaced or out of time. */
    offer(request: SlotRequest, onDecision: (decision: SlotDecision) => void): void {
        assert(this.held.get(request.id) === undefined, `request ${request.id} is already waiting`);
        this.update();
        const returned = this.returns.classify(request.digest);
        const head = this.findHead(request, this.options.freeSlots);
        // A request that may not be held looks for a free slot in several pools. Its caller is promised nothing here, and
        // it is counted where it may be held; it learns where that is best.
        if (head === undefined && request.maxHold <= 0) {
            onDecision({ kind: "refused", reason: "full", retryAfter: this.expectedWait(request, returned), held: 0 });
            return;
        }
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
        const waiting = this.held.get(id);
        if (waiting !== undefined) {
            this.held.remove(waiting);
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

    /** Milliseconds until a request would get a slot if it waited. */
    private expectedWait(request: SlotRequest, returned: ReturnClass): number {
        const priority = priorityOf(request, returned);
        const position = this.held.position({ account: this.account(request.organisation), priority });
        return Math.min(maxExpectedWait, this.rates.expectedWait(position, priority) ?? 0);
    }

    /** Holds a request that no head can take now, or refuses it if no slot is expected in time. */
    private hold(offer: SlotOffer): void {
        const { request, onDecision, returned, account, priority, isStarved } = offer;
        const position = this.held.position(offer);
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
        this.held.add(offer, { since, expires: since + hold, expectedGrant: this.granted + position });
        this.armTimer();
    }

    private grantAll(): void {
        const now = this.options.clock.now();
        for (let next = this.findNext(); next !== undefined; next = this.findNext()) {
            const { waiting, head, isOutOfTurn } = next;
            // Charge before the request is removed, while its organisation still counts as backlogged.
            this.noteGranted(waiting.request, waiting.account, waiting.priority, isOutOfTurn);
            this.held.remove(waiting);
            waiting.onDecision({ kind: "granted", head, held: now - waiting.since });
        }
    }

    private findNext(): Choice | undefined {
        const hasFree = this.held.isAwaited(head => this.options.freeSlots(head) > 0);
        const now = this.options.clock.now();
        const isEligible = (waiting: HeldRequest) =>
            now <= waiting.expires && this.findHead(waiting.request, this.options.freeSlots) !== undefined;
        const regular = hasFree ? this.held.next(isEligible) : undefined;
        const starved = hasFree && regular?.priority !== runningPriority ? this.findStarved(isEligible) : undefined;
        const waiting = starved ?? regular;
        if (waiting === undefined) {
            return this.findOverrun();
        }
        const head = this.findHead(waiting.request, this.options.freeSlots)!;
        return { waiting, head, isOutOfTurn: starved !== undefined && starved !== regular };
    }

    /** Finds the starved request that goes first, if it is the turn of one. */
    private findStarved(isEligible: (waiting: HeldRequest) => boolean): HeldRequest | undefined {
        if (!this.floors.isDue) {
            return undefined;
        }
        const next = this.held.nextStarved(({ request }) => this.floors.isStarved(request));
        return next !== undefined && isEligible(next) ? next : undefined;
    }

    private findOverrun(): Choice | undefined {
        for (const waiting of this.held.mayOverrun) {
            const head = this.findHead(waiting.request, this.options.runningSlots ?? this.options.freeSlots);
            if (head !== undefined) {
                return { waiting, head, isOutOfTurn: false };
            }
        }
        return undefined;
    }

    private findHead(request: SlotRequest, slots: (head: string) => number): string | undefined {
        return request.heads.find(head => slots(head) > 0);
    }

    private noteGranted(request: SlotRequest, account: FairAccount, priority: number, isOutOfTurn: boolean): void {
        this.granted++;
        this.held.charge(account, priority);
        this.rates.noteGranted(priority, isOutOfTurn);
        this.floors.noteGranted(request, isOutOfTurn);
        this.returns.forget(request.digest);
    }

    /** Refuses requests whose time is up, and lets "running" ones exceed the room of a head. */
    private refuseExpired(): void {
        const now = this.options.clock.now();
        for (let due = this.held.findDue(now); due !== undefined; due = this.held.findDue(now)) {
            if (now >= due.expires) {
                this.refuse(due, this.granted >= due.expectedGrant ? "displaced" : "full");
            }
            else {
                this.held.allowOverrun(due);
                this.needsUpdate = true;
            }
        }
    }

    private refuse(waiting: HeldRequest, reason: SlotRefusalReason): void {
        const { request, returned, priority, since } = waiting;
        this.held.remove(waiting);
        const position = this.held.position(waiting);
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
        if (this.held.size < (this.options.maxWaiting ?? 1_000)) {
            return true;
        }
        const displaced = this.held.findToDisplace(account, priority);
        if (displaced === undefined) {
            return false;
        }
        this.refuse(displaced, "displaced");
        return true;
    }

    private expectedStarvedWait(): number {
        return (this.held.starvedSize + 1) * this.floors.period / (this.rates.freedRate ?? 0);
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
        const due = this.held.nextCheck;
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

/**
 * Callers that returned early come last in their rank, but before the next one. Those that returned when told keep the
 * order of arrival: first in the queue, they would leave first attempts nothing in a lasting overload, so that nearly all
 * callers would be served late.
 */
function priorityOf({ precedence, rank }: SlotRequest, returned: ReturnClass): number {
    if (precedence === "running") {
        return runningPriority;
    }
    return returned === "early" ? -2 * rank - 1 : -2 * rank;
}
