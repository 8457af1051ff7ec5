import { type Clock } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type Store } from "../store/Store.js";
import { TableWatch } from "../store/TableWatch.js";
import { type TableWatchOptions } from "../store/TableWatchOptions.js";
import { sharedWatchLimits, watchWait } from "../store/watchWait.js";
import { type TargetDirectory } from "./TargetDirectory.js";
import { type DecodedTarget, TargetList } from "./TargetList.js";

type ForwardedOption = "onLost" | "onRegained" | "onPeersStale" | "onRestored" | "role" | "eras" | "random";

/** Options of {@link createTargetWatch}. */
export interface TargetWatchOptions extends Pick<TableWatchOptions, ForwardedOption> {
    readonly clock: Clock;
    readonly store: Store;
    readonly table: string;
    readonly directory: TargetDirectory;
    readonly decode: (id: string, document: unknown) => DecodedTarget;
    readonly logger: Logger;
    /** Milliseconds without network faults within which this process must know of every target that leaves. */
    readonly contactTime: number;
    /**
     * Milliseconds after the store accepted that a target leaves within which requests may still reach it; undefined if
     * the platform documents none.
     */
    readonly drainTime?: number;
    /** The directory was confirmed to match the store's list. */
    readonly onConfirmed?: () => void;
}

/** Milliseconds before the end of the contact time at which removed entries are dropped: timers fire late. */
const timerSlack = 50;

/**
 * Follows the platform's list of targets and keeps a directory in line with it.
 *
 * An unresponsive connection is detected when the call on it times out, which must happen within the contact time: by
 * then, the drain time of a target that left just after the connection stopped working may be over. With waits of
 * 3.5 s, requests were sent to such targets up to 1.1 s after their drain time (leavingTargets.test.ts).
 */
export function createTargetWatch(options: TargetWatchOptions): TableWatch {
    const { clock, store, table, directory, decode, logger, contactTime, drainTime } = options;
    const { role, eras, random, onLost, onRegained, onPeersStale, onRestored } = options;
    const list = new TargetList({ clock, directory, decode, logger });
    return new TableWatch({
        clock,
        store,
        table,
        wait: watchWait(contactTime),
        sharedWatch: sharedWatchLimits(Math.min(contactTime, drainTime ?? 0)),
        role,
        eras,
        random,
        rewriteBound: contactTime - timerSlack,
        onSnapshot: (rows, graceEnd, isRestored) => list.applySnapshot(rows, graceEnd, isRestored),
        onChanges: (changes, graceEnd) => list.applyChanges(changes, graceEnd),
        onConfirmed: after => {
            directory.confirm(after);
            options.onConfirmed?.();
        },
        onLost,
        onRegained,
        onPeersStale,
        onRestored,
    });
}
