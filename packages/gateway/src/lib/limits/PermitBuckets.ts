import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { type Precedence } from "../requests/precedence.js";
import { PermitBucket } from "./PermitBucket.js";
import { type PermitReply } from "./permitMessage.js";

/** Whether a permit is granted, and if not, when to ask again. */
export type PermitDecision = PermitReply["result"];

/** A request for a permit. */
export interface PermitDemand {
    /** Incarnation of the target. */
    readonly target: string;
    /** Permits per second. */
    readonly rate: number;
    readonly precedence: Precedence;
}

/** Options of {@link PermitBuckets}. */
export interface PermitBucketsOptions {
    readonly clock: Clock;
    /** Permits in a new bucket. */
    readonly initialLevel?: () => number;
}

/** Maximum number of targets whose buckets are kept. */
const maxTargets = 2_000;
/** Maximum milliseconds of a denial: the part of the limit that is issued here may grow. */
const maxDenial = 10_000;

/** A bucket of permits for each limited target. */
export class PermitBuckets {
    private readonly buckets = new LRUCache<string, PermitBucket>({ max: maxTargets });

    constructor(private readonly options: PermitBucketsOptions) {}

    /** Takes a permit if one is available. */
    take({ target, rate, precedence }: PermitDemand): PermitDecision {
        const bucket = this.find(target);
        const isGranted = bucket.take(rate, precedence);
        const wait = Math.min(maxDenial, Math.ceil(bucket.wait(rate, precedence)));
        return { isGranted, retryAfter: isGranted ? 0 : wait };
    }

    /** Discards the permits for a target. */
    discard(target: string): void {
        this.buckets.delete(target);
    }

    private find(target: string): PermitBucket {
        const { clock, initialLevel } = this.options;
        const bucket = this.buckets.get(target) ?? new PermitBucket({ clock, level: initialLevel?.() });
        this.buckets.set(target, bucket);
        return bucket;
    }
}
