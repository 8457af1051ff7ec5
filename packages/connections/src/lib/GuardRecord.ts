import { type Clock } from "@waxwingspar/utils";
import { type GuardReason } from "./GuardedServer.js";

/** Numbers of clients that were turned away, by reason. @public */
export type GuardCounts = Partial<Record<GuardReason, number>>;

/** Options of {@link GuardRecord}. @public */
export interface GuardRecordOptions {
    readonly clock: Pick<Clock, "schedule">;
    /** Called for each client that was turned away. */
    readonly count: (reason: GuardReason) => void;
    /** Called once a second at most. */
    readonly log: (counts: GuardCounts) => void;
}

/** Milliseconds that one log line covers. */
const logInterval = 1_000;

/**
 * Records clients that are turned away for what they do, with a bounded number of log lines.
 *
 * @public
 */
export class GuardRecord {
    /** Clients that no log line covers; undefined if the last line is old enough for another one. */
    private unlogged: GuardCounts | undefined;

    constructor(private readonly options: GuardRecordOptions) {}

    note(reason: GuardReason): void {
        const { clock, count, log } = this.options;
        count(reason);
        if (this.unlogged !== undefined) {
            this.unlogged[reason] = (this.unlogged[reason] ?? 0) + 1;
            return;
        }
        this.unlogged = {};
        log({ [reason]: 1 });
        clock.schedule(() => this.logRest(), logInterval);
    }

    private logRest(): void {
        const { unlogged = {} } = this;
        this.unlogged = undefined;
        if (Object.keys(unlogged).length > 0) {
            this.options.log(unlogged);
        }
    }
}
