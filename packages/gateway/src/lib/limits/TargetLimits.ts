import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { incarnationOf, type Target } from "../directory/Target.js";
import { type Observation } from "../observation/Observation.js";
import { isByTarget, type ReplyEvidence } from "../replies/ReplyEvidence.js";
import { type StatedLimit } from "../requests/messages.js";
import { type LimitStatement, type LimitStatements } from "./LimitStatement.js";

/** The newest statement of a target about its limit. */
export interface KnownLimit {
    /** Requests per second that the target takes from all gateways together; undefined if it has none now. */
    readonly rate: number | undefined;
    /** When it was stated, on this process's clock. */
    readonly statedAt: number;
}

/** Options of {@link TargetLimits}. */
export interface TargetLimitsOptions {
    readonly clock: Clock;
    readonly observation: Observation;
}

/** Maximum number of targets whose statements are kept. */
const maxTargets = 2_000;
/** Milliseconds for which a statement is passed on to peers. */
const maxToldAge = 60_000;
/**
 * Milliseconds by which a peer's statement must be newer than the known one. The age of a statement lacks the time that
 * it was on its way, so an older one that comes back from a peer looks newer than it is.
 */
const orderSlack = 100;

/** The limits that targets state in their replies, by incarnation. */
export class TargetLimits {
    private readonly known = new LRUCache<string, KnownLimit>({ max: maxTargets });

    constructor(private readonly options: TargetLimitsOptions) {}

    /** The rate that a target takes from all gateways together; undefined if it has not limited it. */
    rate(target: Target): number | undefined {
        return this.known.get(incarnationOf(target))?.rate;
    }

    /** Milliseconds since the target last stated its limit; undefined if it has none. */
    age(target: Target): number | undefined {
        const known = this.known.get(incarnationOf(target));
        return known?.rate === undefined ? undefined : this.options.clock.now() - known.statedAt;
    }

    /** The newest statement of an incarnation of a target. */
    statement(incarnation: string): LimitStatement | undefined {
        const known = this.known.get(incarnation);
        return known === undefined
            ? undefined
            : { rate: known.rate, age: Math.round(this.options.clock.now() - known.statedAt) };
    }

    /** The statements that are new enough for peers. */
    listStatements(): LimitStatements {
        const statements = [...this.known.keys()].map(incarnation =>
            [incarnation, this.statement(incarnation)] as const
        );
        return Object.fromEntries(
            statements.flatMap(([incarnation, statement]) =>
                statement !== undefined && statement.age <= maxToldAge ? [[incarnation, statement]] : []
            ),
        );
    }

    /** Records statements that peers have passed on, if they are newer than the known ones. */
    recordStatements(statements: LimitStatements): void {
        const now = this.options.clock.now();
        for (const [incarnation, { rate, age }] of Object.entries(statements)) {
            const known = this.known.get(incarnation);
            if (now - age > (known?.statedAt ?? -Infinity) + orderSlack) {
                this.known.set(incarnation, { rate, statedAt: now - age });
                if (known?.rate !== rate) {
                    this.options.observation.logs.limits.info({ target: incarnation, limit: rate, age }, "limit told");
                }
            }
        }
    }

    /** Records what a reply says about the limit of the target that the request was sent to. */
    recordReply(evidence: ReplyEvidence): void {
        if (!isByTarget(evidence)) {
            return;
        }
        const { target, head: { limit, isSigned }, sentAt } = evidence;
        const known = this.known.get(incarnationOf(target));
        if (limit.kind === "unreadable") {
            this.log(evidence, "unreadable");
        }
        else if (limit.kind === "limited") {
            this.set(target, limit.rate);
            if (known?.rate !== limit.rate) {
                this.log(evidence, known?.rate === undefined ? "named" : "changed");
            }
        }
        // A reply to an earlier request may have overtaken the one that named the limit.
        else if (known?.rate !== undefined && isSigned && sentAt > known.statedAt) {
            this.set(target, undefined);
            this.log(evidence, "lifted");
        }
    }

    private set(target: Target, rate: number | undefined): void {
        this.known.set(incarnationOf(target), { rate, statedAt: this.options.clock.now() });
    }

    private log({ target, head, requestId, status }: ReplyEvidence, change: string): void {
        const { logs, metrics } = this.options.observation;
        metrics.limitStatements.add({ change });
        const fields = { target: target.id, request: requestId, status, ...describe(head.limit) };
        logs.limits.info(fields, `limit ${change}`);
    }
}

function describe(limit: StatedLimit): { readonly limit?: number | string; } {
    return limit.kind === "limited" ? { limit: limit.rate } : limit.kind === "unreadable" ? { limit: limit.text } : {};
}
