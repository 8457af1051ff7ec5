import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { incarnationOf, type Target } from "../directory/Target.js";
import { type Precedence } from "../requests/precedence.js";
import { type TargetLimits } from "./TargetLimits.js";

/** A permit that is not available yet. */
interface Denial {
    readonly until: number;
    /** The limit by which it was denied. A denial by an earlier limit says nothing of the next one. */
    readonly rate: number | undefined;
}

/** Options of {@link PermitDenials}. */
export interface PermitDenialsOptions {
    readonly clock: Clock;
    readonly limits: Pick<TargetLimits, "rate">;
}

/** Maximum number of denials that are remembered. */
const maxDenials = 4_000;

/** The permits that were denied, so that targets without one are passed over until the time at which to ask again. */
export class PermitDenials {
    private readonly denials = new LRUCache<string, Denial>({ max: maxDenials });

    constructor(private readonly options: PermitDenialsOptions) {}

    /** @param retryAfter - Milliseconds until the permit may be available. */
    record(target: Target, precedence: Precedence, retryAfter: number): void {
        const { clock, limits } = this.options;
        const until = clock.now() + Math.max(1, retryAfter);
        this.denials.set(keyOf(target, precedence), { until, rate: limits.rate(target) });
    }

    /** Milliseconds until a permit may be available; 0 if it may be now. */
    timeLeft(target: Target, precedence: Precedence): number {
        const { clock, limits } = this.options;
        const denial = this.denials.get(keyOf(target, precedence));
        const isCurrent = denial !== undefined && denial.rate === limits.rate(target);
        return isCurrent ? Math.max(0, denial.until - clock.now()) : 0;
    }
}

function keyOf(target: Target, precedence: Precedence): string {
    return `${incarnationOf(target)} ${precedence}`;
}
