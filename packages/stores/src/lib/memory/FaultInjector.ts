import { type Clock, failure, type Outcome, platformCodes, sleep } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { TokenBucket } from "../TokenBucket.js";

/**
 * The faults of an in-memory service. Each can be changed at run time.
 *
 * @public
 */
export const faultSettingsSchema = z.object({
    /** Refuses every call. */
    down: z.boolean().default(false),
    /** Milliseconds before a call takes effect. */
    delay: z.number().nonnegative().default(0),
    /** Milliseconds between the effect and the response. */
    answerDelay: z.number().nonnegative().default(0),
    /** How many of the next writes are lost before they take effect. */
    losesBefore: z.number().int().nonnegative().default(0),
    /** How many of the next writes take effect, but whose response is lost. */
    losesAfter: z.number().int().nonnegative().default(0),
    /** Reads use a copy made when this was switched on. Conditions of writes are still checked against current rows. */
    stale: z.boolean().default(false),
    /** Reads above this rate are refused. */
    readsPerSecond: z.number().positive().optional(),
    /** Writes above this rate are refused. */
    writesPerSecond: z.number().positive().optional(),
}).strict();

/**
 * The type of {@link faultSettingsSchema}.
 *
 * @public
 */
export type FaultSettings = z.infer<typeof faultSettingsSchema>;

/**
 * Whether a call reads or writes.
 *
 * @public
 */
export type CallKind = "read" | "write";

/**
 * Runs the calls of an in-memory service and injects the configured faults.
 *
 * @public
 */
export class FaultInjector {
    /** Calls that arrived, including refused ones. */
    readonly arrivals = { read: 0, write: 0 };
    private settings = faultSettingsSchema.parse({});
    private limits: Partial<Record<CallKind, TokenBucket>> = {};

    constructor(private readonly clock: Clock) {}

    /** The current faults. */
    get faults(): FaultSettings {
        return this.settings;
    }

    /** Changes some faults and leaves the others as they are. */
    set(changes: Partial<FaultSettings>): void {
        this.settings = { ...this.settings, ...changes };
        this.limits = {
            read: this.limit(this.settings.readsPerSecond),
            write: this.limit(this.settings.writesPerSecond),
        };
    }

    /**
     * Runs one call.
     *
     * @param effect - Performs the call synchronously.
     */
    async run<T>(kind: CallKind, effect: () => Outcome<T>): Promise<Outcome<T>> {
        this.arrivals[kind]++;
        const refusal = this.refusal(kind);
        if (refusal !== undefined) {
            return refusal;
        }
        const loss = kind === "write" ? this.nextLoss() : undefined;
        await this.pause(this.settings.delay);
        if (loss === "before") {
            return lostAnswer();
        }
        const outcome = effect();
        await this.pause(this.settings.answerDelay);
        return loss === "after" ? lostAnswer() : outcome;
    }

    private refusal(kind: CallKind): Outcome<never> | undefined {
        if (this.settings.down) {
            return Result.err(failure(platformCodes.storeUnavailable, "the store is down"));
        }
        const bucket = this.limits[kind];
        if (bucket === undefined || bucket.take() !== undefined) {
            return undefined;
        }
        return Result.err(failure(platformCodes.storeUnavailable, "rate exceeded", { retryAfter: bucket.wait() }));
    }

    private nextLoss(): "before" | "after" | undefined {
        if (this.settings.losesBefore > 0) {
            this.settings.losesBefore--;
            return "before";
        }
        if (this.settings.losesAfter > 0) {
            this.settings.losesAfter--;
            return "after";
        }
        return undefined;
    }

    private limit(rate: number | undefined): TokenBucket | undefined {
        return rate === undefined ? undefined : new TokenBucket({ clock: this.clock, rate, burst: rate });
    }

    private async pause(duration: number): Promise<void> {
        if (duration > 0) {
            await sleep(this.clock, duration);
        }
    }
}

function lostAnswer(): Outcome<never> {
    return Result.err(failure(platformCodes.storeUnknown, "the answer was lost"));
}
