import { type Clock } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type Store } from "../store/Store.js";
import { TableWatch, type TableWatchOptions } from "../store/TableWatch.js";
import { relianceWithin, watchWait } from "../store/watchWait.js";
import { type TargetDirectory } from "./TargetDirectory.js";
import { type DecodedTarget, TargetList } from "./TargetList.js";

type WatchName = "onLost" | "onRegained" | "onDoubt" | "onRestored" | "role" | "eras";

/** Options of {@link createTargetWatch}. */
export interface TargetWatchOptions extends Pick<TableWatchOptions, WatchName> {
    readonly clock: Clock;
    readonly store: Store;
    readonly table: string;
    readonly directory: TargetDirectory;
    readonly decode: (id: string, document: unknown) => DecodedTarget;
    readonly logger: Logger;
    /** Milliseconds without trouble after which this process must know of every leaving. */
    readonly contactTime: number;
    /** Milliseconds after the store has taken a leaving in which requests may reach the target; undefined where nothing says so. */
    readonly drainTime?: number;
    /** The directory is as the store's list was some moment ago. */
    readonly onConfirmed?: () => void;
}

/** Milliseconds by which vanished entries are given up before the time in contact is over: timers fire late. Chosen. */
const timerSlack = 50;

/**
 * Follows the platform's list of targets and keeps a directory as the list says.
 *
 * A connection that falls silent is noticed when the call on it is given up. That must be within the time in contact alone: a
 * target that left right after the silence may have had its draining time by then. With waits of 3.5 s requests were sent
 * to such targets up to 1.1 s after their draining time (leavingTargets.test.ts run with them).
 */
export function createTargetWatch(options: TargetWatchOptions): TableWatch {
    const { clock, store, table, directory, decode, logger, contactTime, drainTime } = options;
    const { role, eras, onLost, onRegained, onDoubt, onRestored } = options;
    const list = new TargetList({ directory, decode, logger });
    return new TableWatch({
        clock,
        store,
        table,
        wait: watchWait(contactTime),
        reliance: relianceWithin(Math.min(contactTime, drainTime ?? 0)),
        role,
        eras,
        returnBound: contactTime - timerSlack,
        onSnapshot: (rows, graceEnd, isRestored) => list.takeAll(rows, graceEnd, isRestored),
        onChanges: (changes, graceEnd) => list.takeChanges(changes, graceEnd),
        onConfirmed: after => {
            directory.confirm(after);
            options.onConfirmed?.();
        },
        onLost,
        onRegained,
        onDoubt,
        onRestored,
    });
}
