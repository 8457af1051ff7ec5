import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { incarnationOf, type Target } from "../directory/Target.js";
import { type Observation } from "../observation/Observation.js";
import { type ReplyEvidence } from "../replies/ReplyEvidence.js";

/** Options of {@link TargetRests}. */
export interface TargetRestsOptions {
    readonly clock: Clock;
    readonly observation: Observation;
}

/** Maximum number of targets whose rests are kept. */
const maxTargets = 2_000;

/**
 * The rests that targets ask this gateway for when they turn a request away, by incarnation. A rest is a promise to send
 * nothing until it ends; a shorter one that is asked for meanwhile does not shorten it.
 */
export class TargetRests {
    private readonly ends = new LRUCache<string, number>({ max: maxTargets });

    constructor(private readonly options: TargetRestsOptions) {}

    /** Milliseconds until the rest of a target ends; 0 if it has none. */
    timeLeft(target: Target): number {
        const end = this.ends.get(incarnationOf(target)) ?? -Infinity;
        return Math.max(0, end - this.options.clock.now());
    }

    /** Records the rest that a reply asks for. */
    recordReply({ target, head: { rest }, requestId, status }: ReplyEvidence): void {
        const { clock, observation: { logs, metrics } } = this.options;
        if (rest.kind === "none") {
            return;
        }
        const fields = { target: target.id, request: requestId, status };
        metrics.rests.add({ kind: rest.kind });
        if (rest.kind === "unreadable") {
            logs.targets.warn({ ...fields, text: rest.text }, "rest unreadable");
            return;
        }
        const left = this.timeLeft(target);
        logs.targets.info({ ...fields, duration: rest.duration, left: Math.round(left) }, "rest asked for");
        if (rest.duration > left) {
            this.ends.set(incarnationOf(target), clock.now() + rest.duration);
        }
    }
}
