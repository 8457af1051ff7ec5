import { type Clock, type Random, type Timer, uniqueId } from "@waxwingspar/utils";
import { silenceTime, SilentIssuers } from "../limits/SilentIssuers.js";
import { type Observation } from "../observation/Observation.js";
import { FullPools } from "./FullPools.js";
import { OwnSlots } from "./OwnSlots.js";
import { type SlotGroup } from "./SlotGroup.js";
import { SlotIssuer, type SlotIssuerOptions } from "./SlotIssuer.js";
import { type HeadLoad, type IssuedDecision, readSlotMessage, type SlotCall, type SlotReply } from "./slotMessage.js";
import { type SlotDecisionInputs, SlotObservation } from "./SlotObservation.js";
import { type HeldSlot, type SlotOutcome, type SlotPool } from "./SlotPool.js";
import { SlotReports } from "./SlotReports.js";
import { type SlotDecision, type SlotRequest } from "./SlotRequest.js";

/** Options of {@link SlotGrants}. */
export interface SlotGrantsOptions extends Pick<SlotIssuerOptions, "chainLoad" | "weight"> {
    readonly clock: Clock;
    readonly random: Random;
    readonly group: SlotGroup;
    readonly observation: Observation;
    /** Whether slots are asked for; if not, every request is granted the first head. */
    readonly isOn?: () => boolean;
}

/** A request that any head of the pool may run. */
export type PoolRequest = Omit<SlotRequest, "heads">;

type Decider = SlotDecisionInputs["decidedBy"];

interface PendingCall {
    readonly issuer: string;
    readonly timer: Timer;
    readonly onReply: (decision: IssuedDecision) => void;
}

interface KnownLoad extends HeadLoad {
    readonly at: number;
}

/** Milliseconds, beyond the time for which a request may be held, until a reply counts as missing. */
const replyTimeout = 80;
/** Milliseconds for which a known load is used. */
const maxLoadAge = 1_000;
/** Share of the time left within which a refused caller returns. */
const returnShare = 1 / 3;
/** Largest time in a message, in milliseconds: an infinite one cannot be written. */
const maxTime = 3_600_000;
/** Share of its room up to which this gateway alone sends interrupted requests to a head. */
const runningExcess = 1.25;
/** Maximum number of heads whose loads are kept. */
const maxHeads = 2_000;

/**
 * Obtains slots of heads for the requests of this gateway. Handles loads above the capacity of heads that many gateways
 * share: all of them together hold no more requests on a head than it has room for, whatever they know of each other.
 * A gateway sends a few requests without asking, so that below a fifth of the capacity no message is needed.
 */
export class SlotGrants {
    private readonly incarnation = uniqueId();
    private readonly issuer: SlotIssuer;
    private readonly own: OwnSlots;
    private readonly reports: SlotReports;
    private readonly silentIssuers: SilentIssuers;
    private readonly fullPools: FullPools;
    private readonly slotObservation: SlotObservation;
    private readonly loads = new Map<string, KnownLoad>();
    private readonly pending = new Map<number, PendingCall>();
    private nextNumber = 1;

    constructor(private readonly options: SlotGrantsOptions) {
        const { clock, random, group, chainLoad, weight } = options;
        this.own = new OwnSlots({ group, roundingDraw: random.next() });
        const ownInFlight = (head: string) => this.own.inFlight(head);
        this.issuer = new SlotIssuer({ clock, random, group, chainLoad, weight, ownInFlight });
        this.silentIssuers = new SilentIssuers(clock);
        this.fullPools = new FullPools(clock);
        this.slotObservation = new SlotObservation(options.observation);
        this.reports = new SlotReports({
            clock,
            group,
            own: this.own,
            incarnation: this.incarnation,
            isOn: () => options.isOn?.() !== false,
            next: () => this.nextNumber,
            pending: issuer => [...this.pending].flatMap(([number, call]) => call.issuer === issuer ? number : []),
        });
    }

    /**
     * Asks for a slot of a pool and counts it. Resolves without a delay within the local quota, and within a request's
     * `maxHold` and the time of a missing reply otherwise.
     */
    async acquire(pool: SlotPool, request: PoolRequest): Promise<SlotOutcome> {
        const { clock, group, isOn } = this.options;
        this.own.note(pool);
        const [first] = pool.heads;
        if (first === undefined) {
            return { kind: "refused", reason: "full", retryAfter: this.retryAfterAlone(request), held: 0 };
        }
        if (isOn?.() === false) {
            return this.hold(first.id, 0);
        }
        const askedAt = clock.now();
        if (this.issuer.isIssuer(pool.dataCentre)) {
            return this.issueOwn(pool, request);
        }
        const issuer = group.findIssuer(pool.dataCentre);
        if (issuer !== group.address && this.own.isWithinQuota(pool, first)) {
            const granted = this.hold(first.id, 0);
            this.finish(pool, request, granted, "quota");
            return granted;
        }
        const isAlone = issuer === group.address || this.silentIssuers.isSilent(issuer);
        const reply = isAlone ? undefined : await this.ask(issuer, pool, request);
        const outcome = reply ?? this.decideAlone(pool, request, clock.now() - askedAt);
        this.finish(pool, request, outcome, reply === undefined ? "silence" : "reply");
        return outcome;
    }

    /** Takes a slot if the local quota of a head allows it, or a free one of which this gateway is the issuer. */
    tryLocal(pool: SlotPool): HeldSlot | undefined {
        this.own.note(pool);
        const { group, isOn } = this.options;
        if (isOn?.() === false) {
            return pool.heads[0] === undefined ? undefined : this.hold(pool.heads[0].id, 0);
        }
        if (group.findIssuer(pool.dataCentre) === group.address) {
            const head = this.issuer.isIssuer(pool.dataCentre) ? this.issuer.findFree(pool) : undefined;
            return head === undefined ? undefined : this.hold(head, 0);
        }
        const head = pool.heads.find(candidate => this.own.isWithinQuota(pool, candidate));
        return head === undefined ? undefined : this.hold(head.id, 0);
    }

    /** The newest known number of requests of all gateways on a head; undefined if nothing newer than 1 s is known. */
    knownLoad(head: string): number | undefined {
        const dataCentre = this.own.dataCentre(head);
        if (dataCentre !== undefined && this.issuer.isIssuer(dataCentre)) {
            return this.issuer.describe(head).load;
        }
        const known = this.loads.get(head);
        return known === undefined || known.at < this.options.clock.now() - maxLoadAge ? undefined : known.load;
    }

    /** Milliseconds until a pool that refused a request of this rank may take one; 0 if it is not known to be full. */
    fullFor(pool: SlotPool, rank: number): number {
        return this.fullPools.timeLeft(pool, rank);
    }

    /** Milliseconds that a request of a rank is expected to wait for a slot of a pool; 0 if that is not known. */
    expectedWait(pool: SlotPool, rank: number): number {
        return this.fullPools.expectedWait(pool, rank);
    }

    /** Notes whether this gateway is the issuer of its data centre; called with each heartbeat. */
    observe(): void {
        this.issuer.isIssuer(this.options.group.dataCentre);
    }

    /** Handles a datagram from another gateway. @returns False if it is not about slots. */
    receive(datagram: string): boolean {
        const message = readSlotMessage(datagram);
        if (message === undefined) {
            return false;
        }
        if (!("method" in message)) {
            this.settle(message);
        }
        else if (message.method === "takeSlot") {
            // A gateway that takes no slots itself cannot count them; those who ask get no reply and use their parts.
            if (this.options.isOn?.() !== false) {
                this.issuer.answer(message);
            }
        }
        else {
            this.issuer.receive(message.params);
        }
        return true;
    }

    private issueOwn(pool: SlotPool, request: PoolRequest): Promise<SlotOutcome> {
        const heads = pool.heads.map(({ id }) => id);
        return new Promise(resolve => {
            this.issuer.offer(pool, { ...request, heads }, decision => {
                const outcome = decision.kind === "granted" ? this.hold(decision.head, decision.held) : decision;
                this.noteLoads(heads.map(head => this.issuer.describe(head)));
                this.finish(pool, request, outcome, "issuer");
                resolve(outcome);
            });
        });
    }

    /** @returns Undefined if the issuer does not reply or decide. */
    private ask(issuer: string, pool: SlotPool, request: PoolRequest): Promise<SlotOutcome | undefined> {
        const { clock, group } = this.options;
        const number = this.nextNumber++;
        return new Promise(resolve => {
            const timer = clock.schedule(() => {
                this.pending.delete(number);
                this.silentIssuers.recordTimeout(issuer);
                this.reports.noteChange(pool.dataCentre);
                resolve(undefined);
            }, replyTimeout + request.maxHold);
            const onReply = (decision: IssuedDecision) => {
                this.silentIssuers.recordReply(issuer);
                // Counted at once: the next message tells that the call is decided.
                resolve(
                    decision.kind === "granted"
                        ? this.hold(decision.head, decision.held)
                        : decision.kind === "undecided"
                        ? undefined
                        : decision,
                );
            };
            this.pending.set(number, { issuer, timer, onReply });
            const { rank, organisation, kind, precedence, maxHold, timeLeft, digest } = request;
            const call: SlotCall = {
                jsonrpc: "2.0",
                id: `${this.incarnation} ${number}`,
                method: "takeSlot",
                params: {
                    ...this.reports.counts(issuer, pool.heads),
                    number,
                    service: pool.service,
                    dataCentre: pool.dataCentre,
                    wanted: pool.heads.map(({ id }) => id),
                    rank,
                    organisation,
                    kind,
                    precedence,
                    maxHold: Math.min(maxTime, maxHold),
                    timeLeft: Math.min(maxTime, timeLeft),
                    digest,
                },
            };
            group.send(issuer, JSON.stringify(call));
        });
    }

    /** A reply that arrives after its timeout, or twice, is ignored: the next report tells that it is not used. */
    private settle({ id, result: { decision, heads } }: SlotReply): void {
        const [incarnation, number] = id.split(" ");
        const pending = incarnation === this.incarnation ? this.pending.get(Number(number)) : undefined;
        if (pending === undefined) {
            return;
        }
        this.pending.delete(Number(number));
        pending.timer.cancel();
        this.noteLoads(heads);
        pending.onReply(decision);
    }

    /** Decides while no issuer does: by the equal part of the room, and without a bound of it for streams. */
    private decideAlone(pool: SlotPool, request: PoolRequest, held: number): SlotOutcome {
        const isRunning = request.precedence === "running";
        const head = pool.heads.find(candidate => this.own.isWithinQuota(pool, candidate))
            ?? pool.heads.find(candidate => this.own.isWithinPart(pool, candidate))
            ?? pool.heads.find(({ id, room }) => isRunning && this.own.inFlight(id) < runningExcess * room);
        return head === undefined
            ? { kind: "refused", reason: "full", retryAfter: this.retryAfterAlone(request), held }
            : this.hold(head.id, held);
    }

    /** Spread over the time for which an issuer is not asked again. */
    private retryAfterAlone({ timeLeft }: PoolRequest): number {
        return Math.min(Math.max(0, timeLeft) * returnShare, silenceTime * (1 + this.options.random.next()) / 2);
    }

    private hold(head: string, held: number): HeldSlot {
        const release = this.own.begin(head, ({ id, dataCentre, inFlight, room }) => {
            const { group } = this.options;
            if (group.findIssuer(dataCentre) === group.address) {
                this.issuer.noteOwnFreed(id);
            }
            else if (inFlight >= this.own.quota({ dataCentre, room })) {
                this.reports.noteChange(dataCentre);
            }
        });
        this.reports.watch();
        return { kind: "granted", head, held, release };
    }

    private noteLoads(loads: readonly HeadLoad[]): void {
        const at = this.options.clock.now();
        for (const load of loads) {
            this.loads.delete(load.target);
            this.loads.set(load.target, { ...load, at });
        }
        for (const head of this.loads.keys()) {
            if (this.loads.size <= maxHeads) {
                break;
            }
            this.loads.delete(head);
        }
    }

    private finish(pool: SlotPool, request: PoolRequest, outcome: SlotDecision, decidedBy: Decider): void {
        if (outcome.kind === "refused" && outcome.reason !== "early") {
            // A request that was not held is told the expected wait.
            const wait = request.maxHold > 0 ? request.maxHold : outcome.retryAfter;
            this.fullPools.record(pool, request.rank, outcome.retryAfter, wait);
        }
        else if (outcome.kind === "granted") {
            this.fullPools.noteWait(pool, request.rank, outcome.held);
        }
        const heads = pool.heads.map(({ id }) => id);
        const known = heads.flatMap(head => this.loads.get(head) ?? []);
        const add = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0);
        const inputs = known.length === 0 ? {} : {
            load: add(known.map(({ load }) => load)),
            room: add(known.map(({ room }) => room)),
            loadAge: Math.round(this.options.clock.now() - Math.min(...known.map(({ at }) => at))),
        };
        this.slotObservation.record({ ...request, heads }, outcome, { decidedBy, ...inputs });
    }
}
