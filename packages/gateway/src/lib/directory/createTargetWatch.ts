import { type Clock } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type Store } from "../store/Store.js";
import { TableWatch, type TableWatchOptions } from "../store/TableWatch.js";
import { type TargetDirectory } from "./TargetDirectory.js";
import { type DecodedTarget, TargetList } from "./TargetList.js";

/** Options of {@link createTargetWatch}. */
export interface TargetWatchOptions extends Pick<TableWatchOptions, "onLost" | "onRegained"> {
    readonly clock: Clock;
    readonly store: Store;
    readonly table: string;
    readonly directory: TargetDirectory;
    readonly decode: (id: string, document: unknown) => DecodedTarget;
    readonly logger: Logger;
    /** The directory is as the store's list was some moment ago. */
    readonly onConfirmed?: () => void;
}

/**
 * Milliseconds that one call waits for a change of the list of targets. A connection that has gone silent is noticed
 * after that; targets that leave must be known within the time in touch and the draining time, 5 s together.
 */
const targetWait = 3_500;

/** Follows the platform's list of targets and keeps a directory as the list says. */
export function createTargetWatch(options: TargetWatchOptions): TableWatch {
    const { clock, store, table, directory, decode, logger, onLost, onRegained } = options;
    const list = new TargetList({ directory, decode, logger });
    return new TableWatch({
        clock,
        store,
        table,
        wait: targetWait,
        onSnapshot: (rows, graceEnd) => list.takeAll(rows, graceEnd),
        onChanges: (changes, graceEnd) => list.takeChanges(changes, graceEnd),
        onConfirmed: (asked, held) => {
            directory.confirm({ now: asked.now + held, date: asked.date + held });
            options.onConfirmed?.();
        },
        onLost,
        onRegained,
    });
}
