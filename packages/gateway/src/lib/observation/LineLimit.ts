import { type Clock } from "@waxwingspar/utils";
import { type Logger } from "pino";

/** Options of {@link LineLimit}. */
export interface LineLimitOptions {
    readonly clock: Clock;
    readonly logger: Logger;
    /** Maximum lines in a second. */
    readonly rate?: number;
}

const defaultRate = 100;
const millisecondsPerSecond = 1_000;

/** Limits the log lines that clients without a key can cause, and reports how many were left out. */
export class LineLimit {
    private taken = 0;
    private leftOut = 0;

    constructor(private readonly options: LineLimitOptions) {}

    /** @returns Whether a line may be written now. */
    take(): boolean {
        const { clock, rate = defaultRate } = this.options;
        if (this.taken === 0) {
            clock.schedule(() => this.beginSecond(), millisecondsPerSecond);
        }
        this.taken++;
        const isAllowed = this.taken <= rate;
        this.leftOut += isAllowed ? 0 : 1;
        return isAllowed;
    }

    private beginSecond(): void {
        this.taken = 0;
        if (this.leftOut > 0) {
            this.options.logger.warn({ leftOut: this.leftOut }, "lines about refused clients left out");
            this.leftOut = 0;
        }
    }
}
