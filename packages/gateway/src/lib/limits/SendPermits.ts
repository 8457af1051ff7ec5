import { type Clock, type Random, type Timer, uniqueId } from "@waxwingspar/utils";
import { incarnationOf, type Target } from "../directory/Target.js";
import { type Observation } from "../observation/Observation.js";
import { type Precedence } from "../requests/precedence.js";
import { PermitBuckets, type PermitDecision } from "./PermitBuckets.js";
import { PermitDenials } from "./PermitDenials.js";
import { type PermitReply, type PermitRequest, readPermitMessage } from "./permitMessage.js";
import { silenceTime, SilentIssuers } from "./SilentIssuers.js";
import { type TargetLimits } from "./TargetLimits.js";

/** The group of gateways that share the limits of targets. */
export interface PermitGroup {
    /** Address of this gateway. */
    readonly address: string;
    /** Address of the gateway that issues the permits for targets in a data centre. */
    findIssuer(dataCentre: string): string;
    /** Number of gateways that may exist, including those that are partitioned; infinite while unknown. */
    readonly groupSize: number;
    /** Share of a limit that this gateway may issue, from 0 to 1; below 1 after a loss of contact. */
    readonly issuerShare: number;
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

/** Who decides on a permit: this gateway as the issuer, another issuer, or this gateway while that one is silent. */
type Decider = "issuer" | "reply" | "silence";

/** A send that needs a permit. */
export interface PermittedSend {
    readonly target: Target;
    readonly precedence: Precedence;
    /** Id of the caller's request, for the log. */
    readonly requestId: string | undefined;
}

interface PendingRequest {
    readonly timer: Timer;
    readonly onReply: (decision: PermitDecision) => void;
}

/** Milliseconds until a reply counts as missing: many round trips, and pauses of a busy process. */
const replyTimeout = 80;
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

/**
 * Issues and obtains the permits that requests to limited targets need. One gateway of the target's data centre issues
 * them at the rate of the limit, so the limit holds for all gateways together however their load is distributed. An
 * issuer that has lost contact with some gateways issues only a share, since they may have an issuer of their own. A permit is valid for the moment of its arrival, so a lost or late message wastes it.
 */
export class SendPermits {
    private readonly issued: PermitBuckets;
    /** Permits that this gateway uses while the issuer is silent. */
    private readonly own: PermitBuckets;
    private readonly denials: PermitDenials;
    private readonly silentIssuers: SilentIssuers;
    private readonly pending = new Map<string, PendingRequest>();

    constructor(private readonly options: SendPermitsOptions) {
        const { clock, random, limits } = options;
        this.issued = new PermitBuckets({ clock });
        // A random level, so that gateways which lose their issuer together do not get their permits together.
        this.own = new PermitBuckets({ clock, initialLevel: () => random.next() });
        this.denials = new PermitDenials({ clock, limits });
        this.silentIssuers = new SilentIssuers(clock);
    }

    /** Whether requests to a target need a permit. */
    isNeeded(target: Target): boolean {
        return this.options.limits.rate(target) !== undefined;
    }

    /** Whether a request may be sent or a permit may be available, as far as this gateway knows. */
    mayAcquire(target: Target, precedence: Precedence): boolean {
        return !this.isNeeded(target) || this.denials.timeLeft(target, precedence) === 0;
    }

    /** Milliseconds until a permit for one of the targets may be available. */
    retryAfter(targets: readonly Target[], precedence: Precedence): number {
        return Math.min(...targets.map(target => this.denials.timeLeft(target, precedence)));
    }

    /** Acquires a permit to send one request to a target now. @returns Whether it was granted. */
    async acquire(send: PermittedSend): Promise<boolean> {
        const { target, precedence } = send;
        const issuer = this.options.group.findIssuer(target.dataCentre);
        const decider = this.chooseDecider(issuer);
        const decision = decider === "reply" ? await this.ask(issuer, send) : this.decide(decider, send);
        if (decision.statement !== undefined) {
            this.options.limits.recordStatements({ [incarnationOf(target)]: decision.statement });
        }
        if (!decision.isGranted) {
            this.denials.record(target, precedence, decision.retryAfter);
        }
        this.log(send, decision, decider);
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
            this.settle(message);
        }
        return true;
    }

    private chooseDecider(issuer: string): Decider {
        if (issuer === this.options.group.address) {
            return "issuer";
        }
        return this.silentIssuers.isSilent(issuer) ? "silence" : "reply";
    }

    private decide(decider: "issuer" | "silence", { target, precedence }: PermittedSend): PermitDecision {
        const incarnation = incarnationOf(target);
        return decider === "issuer" ? this.issue(incarnation, precedence) : this.decideAlone(incarnation, precedence);
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

    private issue(target: string, precedence: Precedence): PermitDecision {
        const { limits, group } = this.options;
        const statement = limits.statement(target);
        if (statement?.rate === undefined) {
            return { isGranted: true, retryAfter: 0, statement };
        }
        const rate = Math.max(minRate, statement.rate) * group.issuerShare;
        return { ...this.issued.take({ target, rate, precedence }), statement };
    }

    /** Decides for an issuer that is silent. */
    private decideAlone(target: string, precedence: Precedence): PermitDecision {
        const { limits, group } = this.options;
        const limit = limits.statement(target)?.rate ?? 0;
        const rate = Math.max(minRate, limit) * silentShare / group.groupSize;
        const { isGranted, retryAfter } = this.own.take({ target, rate, precedence });
        return { isGranted, retryAfter: Math.min(silenceTime, retryAfter) };
    }

    private ask(issuer: string, { target, precedence }: PermittedSend): Promise<PermitDecision> {
        const { clock, limits, group } = this.options;
        const incarnation = incarnationOf(target);
        const id = uniqueId();
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
                this.silentIssuers.recordTimeout(issuer);
                resolve({ isGranted: false, retryAfter: replyTimeout });
            }, replyTimeout);
            const onReply = (decision: PermitDecision) => {
                this.silentIssuers.recordReply(issuer);
                this.own.discard(incarnation);
                resolve(decision);
            };
            this.pending.set(id, { timer, onReply });
            group.send(issuer, JSON.stringify(request));
        });
    }

    /** A reply that arrives after its timeout, or twice, is ignored. */
    private settle({ id, result }: PermitReply): void {
        const pending = this.pending.get(id);
        this.pending.delete(id);
        pending?.timer.cancel();
        pending?.onReply(result);
    }

    private log({ target, precedence, requestId }: PermittedSend, decision: PermitDecision, decidedBy: Decider): void {
        const { limits, observation } = this.options;
        const { isGranted, retryAfter } = decision;
        observation.metrics.permits.add({ decision: isGranted ? "granted" : "denied", decidedBy });
        observation.logs.limits.info({
            request: requestId,
            target: target.id,
            limit: limits.rate(target),
            limitAge: Math.round(limits.age(target) ?? 0),
            precedence,
            decidedBy,
            retryAfter: isGranted ? undefined : Math.round(retryAfter),
        }, isGranted ? "permit granted" : "permit denied");
    }
}
