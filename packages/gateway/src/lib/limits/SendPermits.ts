import { type Clock, type Random, type Timer } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { incarnationOf, type Target } from "../directory/Target.js";
import { type Observation } from "../observation/Observation.js";
import { type Precedence } from "../requests/precedence.js";
import { PermitBucket } from "./PermitBucket.js";
import { type PermitReply, type PermitRequest, readPermitMessage } from "./permitMessage.js";
import { type TargetLimits } from "./TargetLimits.js";

/** The group of gateways that share the limits of targets. */
export interface PermitGroup {
    /** Address of this gateway. */
    readonly address: string;
    /** Address of the gateway that issues the permits for targets in a data centre. */
    findIssuer(dataCentre: string): string;
    /** Number of gateways that may exist, including those that are partitioned; infinite while unknown. */
    readonly groupSize: number;
    /** Number of gateways in contact, including this one. */
    readonly alive: number;
    /** Sends a datagram, without a guarantee of delivery. */
    send(address: string, datagram: string): void;
}

/** Options of {@link SendPermits}. */
export interface SendPermitsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly limits: TargetLimits;
    readonly group: PermitGroup;
    readonly observation: Observation;
}

type Decision = PermitReply["result"];
/** Who decided on a permit: this gateway as the issuer, another issuer, or this gateway for an issuer that is silent. */
type DecidedBy = "issuer" | "reply" | "silence";

/** A permit that is not available yet. */
interface Denial {
    readonly until: number;
    /** The limit by which it was denied. A denial by an earlier limit says nothing of the next one. */
    readonly rate: number | undefined;
}

interface Silence {
    readonly requests: number;
    /** Until when the issuer is not asked. */
    readonly until: number;
}

interface PendingRequest {
    readonly timer: Timer;
    readonly onReply: (decision: Decision) => void;
}

/** Milliseconds until an issuer counts as silent: many round trips, and pauses of a busy process. */
const replyTimeout = 80;
/** Number of successive requests without a reply after which an issuer is silent: one may have been lost. */
const silentRequests = 2;
/** Milliseconds for which a silent issuer is not asked again. */
const silenceTime = 1_000;
/** Maximum milliseconds of a denial: the share of the limit that an issuer uses may grow. */
const maxDenial = 10_000;
/** Milliseconds after which a gateway that takes another one for the issuer is asked again. */
const otherIssuerRetryAfter = 200;
/**
 * Requests per second that are sent to a target whatever its limit. Only an answer can tell that a target which took
 * none does so again.
 */
const minRate = 0.2;
/**
 * Share of its equal part of a limit that a gateway uses while its issuer is silent: the issuer may be alive and issue
 * the whole limit to others.
 */
const silentShare = 0.5;
/** Maximum number of targets whose buckets are kept. */
const maxTargets = 2_000;

/**
 * Issues and obtains the permits that requests to limited targets need. One gateway of the target's data centre issues
 * them at the rate of the limit, so the limit holds for all gateways together however their load is distributed. An
 * issuer that has lost contact with some gateways issues only the part of the others, since a partition may have an
 * issuer of its own. A permit is valid for the moment of its arrival, so a lost or late message wastes it.
 */
export class SendPermits {
    private readonly buckets = new LRUCache<string, PermitBucket>({ max: maxTargets });
    /** Buckets for the time in which an issuer is silent. */
    private readonly silentBuckets = new LRUCache<string, PermitBucket>({ max: maxTargets });
    /** By incarnation and precedence. */
    private readonly denials = new LRUCache<string, Denial>({ max: maxTargets });
    /** Issuers that have not replied to the newest request, by address. */
    private readonly silences = new LRUCache<string, Silence>({ max: maxTargets });
    private readonly pending = new Map<string, PendingRequest>();
    private requests = 0;

    constructor(private readonly options: SendPermitsOptions) {}

    /** Whether requests to a target need a permit. */
    isNeeded(target: Target): boolean {
        return this.options.limits.rate(target) !== undefined;
    }

    /** Whether a request may be sent or a permit may be available, as far as this gateway knows. */
    mayAcquire(target: Target, precedence: Precedence): boolean {
        return !this.isNeeded(target) || this.denialLeft(target, precedence) === 0;
    }

    /** Milliseconds until a permit for one of the targets may be available. */
    retryAfter(targets: readonly Target[], precedence: Precedence): number {
        return Math.min(...targets.map(target => this.denialLeft(target, precedence)));
    }

    /** Acquires a permit to send one request to a target now. @returns Whether it was granted. */
    async acquire(target: Target, precedence: Precedence): Promise<boolean> {
        const { clock, limits, group } = this.options;
        const issuer = group.findIssuer(target.dataCentre);
        const decidedBy: DecidedBy = issuer === group.address
            ? "issuer"
            : clock.now() < (this.silences.get(issuer)?.until ?? -Infinity)
            ? "silence"
            : "reply";
        const decision = decidedBy === "issuer"
            ? this.issue(incarnationOf(target), precedence)
            : decidedBy === "silence"
            ? this.decideAlone(target, precedence)
            : await this.ask(issuer, target, precedence);
        if (decision.statement !== undefined) {
            limits.recordStatements({ [incarnationOf(target)]: decision.statement });
        }
        this.note(target, precedence, decision, decidedBy);
        return decision.isGranted;
    }

    /** Handles a datagram from another gateway. @returns False if it is not about permits. */
    receive(datagram: string): boolean {
        const message = readPermitMessage(datagram);
        if (message === undefined) {
            return false;
        }
        if ("method" in message) {
            this.answer(message);
        }
        else {
            this.settle(message.id, message.result);
        }
        return true;
    }

    private answer({ id, params }: PermitRequest): void {
        const { limits, group } = this.options;
        const { from, target, dataCentre, precedence, statement } = params;
        limits.recordStatements({ [target]: statement });
        const isIssuer = group.findIssuer(dataCentre) === group.address;
        const result = isIssuer
            ? this.issue(target, precedence)
            : { isGranted: false, retryAfter: otherIssuerRetryAfter };
        const reply: PermitReply = { jsonrpc: "2.0", id, result };
        group.send(from, JSON.stringify(reply));
    }

    private issue(incarnation: string, precedence: Precedence): Decision {
        const { limits, group } = this.options;
        const statement = limits.statement(incarnation);
        if (statement?.rate === undefined) {
            return { isGranted: true, retryAfter: 0, statement };
        }
        const rate = Math.max(minRate, statement.rate) * Math.min(1, group.alive / group.groupSize);
        return { ...this.takeFrom(this.buckets, incarnation, rate, precedence), statement };
    }

    /** Decides for an issuer that is silent. */
    private decideAlone(target: Target, precedence: Precedence): Decision {
        const { limits, group, random } = this.options;
        const rate = Math.max(minRate, limits.rate(target) ?? 0) * silentShare / group.groupSize;
        const decision = this.takeFrom(this.silentBuckets, incarnationOf(target), rate, precedence, random.next());
        return { ...decision, retryAfter: Math.min(silenceTime, decision.retryAfter) };
    }

    private takeFrom(
        buckets: LRUCache<string, PermitBucket>,
        incarnation: string,
        rate: number,
        precedence: Precedence,
        level?: number,
    ): Decision {
        const bucket = buckets.get(incarnation) ?? new PermitBucket({ clock: this.options.clock, level });
        buckets.set(incarnation, bucket);
        const isGranted = bucket.take(rate, precedence);
        const wait = Math.min(maxDenial, Math.ceil(bucket.wait(rate, precedence)));
        return { isGranted, retryAfter: isGranted ? 0 : wait };
    }

    private ask(issuer: string, target: Target, precedence: Precedence): Promise<Decision> {
        const { clock, limits, group } = this.options;
        const incarnation = incarnationOf(target);
        const id = `${group.address} ${++this.requests}`;
        const request: PermitRequest = {
            jsonrpc: "2.0",
            id,
            method: "takePermit",
            params: {
                from: group.address,
                target: incarnation,
                dataCentre: target.dataCentre,
                precedence,
                statement: limits.statement(incarnation) ?? { age: 0 },
            },
        };
        return new Promise(resolve => {
            const timer = clock.schedule(() => {
                this.pending.delete(id);
                this.recordSilence(issuer);
                resolve({ isGranted: false, retryAfter: replyTimeout });
            }, replyTimeout);
            this.pending.set(id, {
                timer,
                onReply: decision => {
                    this.silences.delete(issuer);
                    this.silentBuckets.delete(incarnation);
                    resolve(decision);
                },
            });
            group.send(issuer, JSON.stringify(request));
        });
    }

    /** A reply that arrives after its timeout, or twice, is ignored. */
    private settle(id: string, decision: Decision): void {
        const pending = this.pending.get(id);
        this.pending.delete(id);
        pending?.timer.cancel();
        pending?.onReply(decision);
    }

    private recordSilence(issuer: string): void {
        const requests = (this.silences.get(issuer)?.requests ?? 0) + 1;
        const until = requests < silentRequests ? -Infinity : this.options.clock.now() + silenceTime;
        this.silences.set(issuer, { requests, until });
    }

    private denialLeft(target: Target, precedence: Precedence): number {
        const { clock, limits } = this.options;
        const denial = this.denials.get(denialKey(target, precedence));
        const isCurrent = denial !== undefined && denial.rate === limits.rate(target);
        return isCurrent ? Math.max(0, denial.until - clock.now()) : 0;
    }

    private note(target: Target, precedence: Precedence, decision: Decision, decidedBy: DecidedBy): void {
        const { clock, limits, observation } = this.options;
        const { isGranted, retryAfter } = decision;
        observation.metrics.permits.add({ decision: isGranted ? "granted" : "denied", decidedBy });
        if (isGranted) {
            return;
        }
        const until = clock.now() + Math.max(1, retryAfter);
        this.denials.set(denialKey(target, precedence), { until, rate: limits.rate(target) });
        observation.logs.limits.info({
            target: target.id,
            limit: limits.rate(target),
            limitAge: Math.round(limits.age(target) ?? 0),
            precedence,
            decidedBy,
            retryAfter: Math.round(retryAfter),
        }, "permit denied");
    }
}

function denialKey(target: Target, precedence: Precedence): string {
    return `${incarnationOf(target)} ${precedence}`;
}
