import { type Clock, type Random } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { SlotCounter, type SlotCounterOptions } from "./SlotCounter.js";
import { type SlotGroup } from "./SlotGroup.js";
import { type HeadLoad, type IssuedDecision, type SlotCall, type SlotCounts, type SlotReply } from "./slotMessage.js";
import { type SlotPool } from "./SlotPool.js";
import { SlotQueue, type SlotQueueOptions } from "./SlotQueue.js";
import { type SlotDecision, type SlotRequest } from "./SlotRequest.js";

/** Options of {@link SlotIssuer}. */
export interface SlotIssuerOptions
    extends Pick<SlotCounterOptions, "ownInFlight" | "chainLoad">, Pick<SlotQueueOptions, "weight"> {
    readonly clock: Clock;
    readonly random: Random;
    readonly group: SlotGroup;
}

/** Whose slots are asked for. */
type PoolName = Pick<SlotPool, "service" | "dataCentre">;

interface IssuedPool {
    readonly dataCentre: string;
    readonly queue: SlotQueue;
    /** Whether this gateway is the issuer, as last checked: one that is not any more grants nothing to those that wait. */
    isIssued: boolean;
    /** Whether slots that become free without a message are looked for. */
    isPolled: boolean;
}

interface ReceivedCall {
    readonly call: SlotCall;
    /** Undefined while it waits. */
    decision: IssuedDecision | undefined;
}

/**
 * Milliseconds after another gateway has issued slots in which this one decides nothing: three heartbeats, in which
 * gateways learn of the new issuer and report to it.
 */
const takeoverTime = 600;
/** Share of its room up to which a head takes interrupted requests that have waited: targets queue half as many as they have slots. */
const runningExcess = 1.25;
/** Milliseconds between two looks for slots that have become free without a message, while requests wait. */
const pollInterval = 40;
/** Maximum number of calls whose decisions are kept for duplicates. */
const maxCalls = 10_000;
/** Maximum number of pools and of heads whose pool is kept. */
const maxPools = 200;
const maxHeads = 2_000;

/**
 * Issues the slots of heads to all gateways that ask. Handles a load above the capacity of heads that 6 to 43 gateways
 * share, whose views of each other are up to 0.9 s old: only one of them decides on a slot.
 */
export class SlotIssuer {
    private readonly counter: SlotCounter;
    private readonly pools = new LRUCache<string, IssuedPool>({ max: maxPools });
    private readonly poolOf = new LRUCache<string, IssuedPool>({ max: maxHeads });
    private readonly calls = new LRUCache<string, ReceivedCall>({ max: maxCalls });
    /** Calls that wait, by the incarnation of the gateway and the id. */
    private readonly waiting = new Map<string, Map<string, IssuedPool>>();
    /** Since when this gateway has been the issuer of a data centre. */
    private readonly issuerSince = new LRUCache<string, number>({ max: maxPools });

    private nextOwn = 1;

    constructor(private readonly options: SlotIssuerOptions) {
        const { clock, group, ownInFlight, chainLoad } = options;
        this.counter = new SlotCounter({
            clock,
            group,
            ownInFlight,
            chainLoad,
            onFreed: (head, count) => this.poolOf.get(head)?.queue.noteFreed(count),
        });
    }

    /** Whether this gateway decides on the slots of a data centre. */
    isIssuer(dataCentre: string): boolean {
        const { clock, group } = this.options;
        if (group.findIssuer(dataCentre) !== group.address) {
            this.issuerSince.delete(dataCentre);
            return false;
        }
        const since = this.issuerSince.get(dataCentre) ?? clock.now();
        this.issuerSince.set(dataCentre, since);
        return group.groupSize === 1 || clock.now() - since >= takeoverTime;
    }

    /** Decides on a request of this gateway. */
    offer(pool: SlotPool, request: SlotRequest, onDecision: (decision: SlotDecision) => void): void {
        this.noteRooms(pool);
        // A caller's id may be in use: a request that is sent twice asks twice.
        this.enqueue(this.pool(pool, request.heads), { ...request, id: `own ${this.nextOwn++}` }, onDecision);
    }

    /** The first head with a free slot that no request waits for. */
    findFree(pool: SlotPool): string | undefined {
        this.noteRooms(pool);
        const heads = pool.heads.map(({ id }) => id);
        return this.pool(pool, heads).queue.waiting > 0
            ? undefined
            : heads.find(head => this.counter.freeSlots(head) >= 1);
    }

    /** Records that a request of this gateway has ended. */
    noteOwnFreed(head: string): void {
        const pool = this.poolOf.get(head);
        pool?.queue.noteFreed(1);
        this.update(pool);
    }

    /** Answers a call, at once or when it is decided. */
    answer(call: SlotCall): void {
        const { id, params } = call;
        const { incarnation, number, dataCentre, wanted } = params;
        wanted.forEach(head => this.counter.noteDataCentre(head, dataCentre));
        this.receive(params);
        const known = this.calls.get(id);
        if (known !== undefined || this.counter.isOver(incarnation, number)) {
            this.reply(known);
            return;
        }
        const received: ReceivedCall = { call, decision: undefined };
        this.calls.set(id, received);
        if (this.isIssuer(dataCentre)) {
            this.decide(received);
        }
        else {
            received.decision = { kind: "undecided" };
            this.reply(received);
        }
    }

    /** Records the counts of another gateway. */
    receive(counts: SlotCounts): void {
        if (!this.counter.receive(counts)) {
            return;
        }
        const waiting = this.waiting.get(counts.incarnation) ?? new Map<string, IssuedPool>();
        for (const [id, { queue }] of waiting) {
            const number = this.calls.get(id)?.call.params.number;
            if (number === undefined || this.counter.isOver(counts.incarnation, number)) {
                queue.cancel(id);
                this.forgetWaiting(counts.incarnation, id);
            }
        }
        new Set(counts.heads.map(({ target }) => this.poolOf.get(target))).forEach(pool => this.update(pool));
    }

    /** Requests of all gateways on a head, and its room. */
    describe(head: string): HeadLoad {
        return { target: head, load: this.counter.load(head), room: this.counter.room(head) };
    }

    private decide(received: ReceivedCall): void {
        const { call: { id, params }, call } = received;
        const { incarnation, number, wanted } = params;
        const pool = this.pool(params, wanted);
        const onDecision = (decision: SlotDecision) => {
            received.decision = decision;
            this.forgetWaiting(incarnation, id);
            if (decision.kind === "granted") {
                this.counter.addGrant(incarnation, number, decision.head);
            }
            this.reply(received);
        };
        const waiting = this.waiting.get(incarnation) ?? new Map<string, IssuedPool>();
        this.waiting.set(incarnation, waiting.set(id, pool));
        const { rank, organisation, kind, precedence, maxHold, timeLeft, digest } = call.params;
        const request = { id, heads: wanted, rank, organisation, kind, precedence, maxHold, timeLeft, digest };
        this.enqueue(pool, request, onDecision);
    }

    private enqueue(pool: IssuedPool, request: SlotRequest, onDecision: (decision: SlotDecision) => void): void {
        pool.isIssued = true;
        pool.queue.offer(request, onDecision);
        this.poll(pool);
    }

    private update(pool: IssuedPool | undefined): void {
        if (pool !== undefined && pool.queue.waiting > 0) {
            pool.isIssued = this.isIssuer(pool.dataCentre);
            pool.queue.update();
        }
    }

    private poll(pool: IssuedPool): void {
        if (pool.isPolled || pool.queue.waiting === 0) {
            return;
        }
        pool.isPolled = true;
        this.options.clock.schedule(() => {
            pool.isPolled = false;
            this.update(pool);
            this.poll(pool);
        }, pollInterval);
    }

    private reply(received: ReceivedCall | undefined): void {
        if (received?.decision === undefined) {
            return;
        }
        const { call: { id, params: { from, wanted } }, decision } = received;
        const reply: SlotReply = {
            jsonrpc: "2.0",
            id,
            result: { decision, heads: wanted.map(head => this.describe(head)) },
        };
        this.options.group.send(from, JSON.stringify(reply));
    }

    private forgetWaiting(incarnation: string, id: string): void {
        const waiting = this.waiting.get(incarnation);
        waiting?.delete(id);
        if (waiting?.size === 0) {
            this.waiting.delete(incarnation);
        }
    }

    private noteRooms({ dataCentre, heads }: SlotPool): void {
        heads.forEach(({ id, room }) => this.counter.noteOwnRoom(id, dataCentre, room));
    }

    private pool({ service, dataCentre }: PoolName, heads: readonly string[]): IssuedPool {
        const key = `${dataCentre} ${service}`;
        const pool = this.pools.get(key) ?? this.createPool(dataCentre);
        this.pools.set(key, pool);
        heads.forEach(head => this.poolOf.set(head, pool));
        return pool;
    }

    private createPool(dataCentre: string): IssuedPool {
        const { clock, random, weight } = this.options;
        const queue: SlotQueue = new SlotQueue({
            clock,
            random,
            weight,
            freeSlots: head => pool.isIssued ? this.counter.freeSlots(head) : 0,
            runningSlots: head => pool.isIssued ? this.counter.freeSlots(head, runningExcess) : 0,
        });
        const pool: IssuedPool = { dataCentre, queue, isIssued: true, isPolled: false };
        return pool;
    }
}
