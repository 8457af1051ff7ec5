import { type Clock } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type Store, type StoredRow } from "../store/Store.js";
import { TableWatch, type TableWatchOptions } from "../store/TableWatch.js";
import { relianceWithin, watchWait } from "../store/watchWait.js";
import { type Configuration } from "./Configuration.js";
import { type ConfigurationInForce } from "./ConfigurationInForce.js";

type WatchName = "onLost" | "onRegained" | "onDoubt" | "onRestored" | "role" | "eras";

/** Options of {@link createConfigurationWatch}. */
export interface ConfigurationWatchOptions extends Pick<TableWatchOptions, WatchName> {
    readonly clock: Clock;
    readonly store: Store;
    readonly table: string;
    /** The row that holds the configuration. */
    readonly key: string;
    /** @throws Error when the document is no configuration. */
    readonly decode: (document: unknown) => Configuration;
    readonly configuration: ConfigurationInForce;
    readonly logger: Logger;
    /** Milliseconds without trouble after which this process must know of every change. */
    readonly contactTime: number;
    /** Milliseconds after the store has taken a configuration in which it must be in force; undefined where nothing says so. */
    readonly configurationTime?: number;
    /** A newer configuration is in force. */
    readonly onChange: (configuration: Configuration) => void;
}

/**
 * The longest time in milliseconds that one call waits, whatever the time in contact. Keys work for 4.6 s after the last
 * confirmation. A gateway without peers whose connection falls silent has waited this long, and 0.7 s until it gives the call
 * up, and must still have time for the next call.
 */
const longestWait = 3_000;
/** Of the same 4.6 s, the most that may pass until a gateway that relies on peers asks the store, and two calls more. */
const longestReliance = 3_500;

/**
 * Follows the configuration. A call that found nothing newer for the whole of its wait confirms the configuration to the end of
 * that wait: so keys work for up to one wait longer when the store goes away, and calls can be fewer. With waits of 1.2 s counted
 * from the sending of a call, 68 gateways made 57 calls a second for the configuration alone.
 */
export function createConfigurationWatch(options: ConfigurationWatchOptions): TableWatch {
    const { clock, store, table, configuration, contactTime, configurationTime } = options;
    const { role, eras, onLost, onRegained, onDoubt, onRestored } = options;
    const promise = Math.min(contactTime, configurationTime ?? 0, longestReliance);
    return new TableWatch({
        clock,
        store,
        table,
        wait: Math.min(longestWait, watchWait(contactTime)),
        reliance: relianceWithin(promise),
        role,
        eras,
        onSnapshot: rows => take(rows, options),
        onChanges: changes => take(changes.flatMap(({ row }) => row ?? []), options),
        onConfirmed: after => configuration.confirm(after),
        onLost,
        onRegained,
        onDoubt,
        onRestored,
    });
}

/** Takes the newest of the rows that hold the configuration: a call may bring several versions of it. */
function take(rows: readonly StoredRow[], options: ConfigurationWatchOptions): void {
    const { key, decode, configuration, logger, onChange } = options;
    const row = rows.findLast(row => row.key === key);
    if (row === undefined) {
        return;
    }
    let offered: Configuration;
    try {
        offered = decode(row.value);
    }
    catch (error) {
        logger.error({ row: row.version, error: String(error) }, "configuration cannot be read");
        return;
    }
    if (configuration.offer(offered)) {
        onChange(offered);
        logger.info({
            version: offered.version,
            row: row.version,
            routes: offered.routes.length,
            services: offered.services.length,
        }, "configuration in force");
    }
}
