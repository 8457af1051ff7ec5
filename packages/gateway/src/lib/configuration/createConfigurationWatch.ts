import { type Clock } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type Store, type StoredRow } from "../store/Store.js";
import { TableWatch, type TableWatchOptions } from "../store/TableWatch.js";
import { sharedWatchLimits, watchWait } from "../store/watchWait.js";
import { type Configuration } from "./Configuration.js";
import { type ConfigurationInForce } from "./ConfigurationInForce.js";

type ForwardedOption = "onLost" | "onRegained" | "onPeersStale" | "onRestored" | "role" | "eras" | "random";

/** Options of {@link createConfigurationWatch}. */
export interface ConfigurationWatchOptions extends Pick<TableWatchOptions, ForwardedOption> {
    readonly clock: Clock;
    readonly store: Store;
    readonly table: string;
    /** The row that holds the configuration. */
    readonly key: string;
    /** @throws Error when the document is not a valid configuration. */
    readonly decode: (document: unknown) => Configuration;
    readonly configuration: ConfigurationInForce;
    readonly logger: Logger;
    /** Maximum milliseconds until this process must know of a change while it is in contact with the store. */
    readonly contactTime: number;
    /**
     * Maximum milliseconds from a write to the store until the configuration is in force; undefined if no limit is set.
     */
    readonly configurationTime?: number;
    /** Called when a newer configuration is in force. */
    readonly onChange: (configuration: Configuration) => void;
    /** Called when the configuration in force was confirmed to be the newest one. */
    readonly onConfirmed?: () => void;
}

/**
 * Maximum milliseconds that one call waits for changes, whatever `contactTime` is. Keys are accepted for 4.6 s after
 * the last confirmation. If the connection of a gateway without peers goes silent, this wait and another 0.7 s pass
 * until the call times out, and there must still be time for the next call.
 */
const maxWait = 3_000;
/**
 * Maximum milliseconds, out of the same 4.6 s, until a gateway that relies on peers queries the store itself and has
 * made two more calls.
 */
const maxPropagationTime = 3_500;

/**
 * Creates a watch that follows the configuration in the store. A call that found no change during its whole wait
 * confirms the configuration up to the end of that wait. Keys therefore stay valid for up to one wait longer when the
 * store becomes unavailable, and fewer calls are needed: with waits of 1.2 s, counted from the sending of a call, 68
 * gateways made 57 calls per second for the configuration alone.
 */
export function createConfigurationWatch(options: ConfigurationWatchOptions): TableWatch {
    const { clock, store, table, configuration, contactTime, configurationTime } = options;
    const { role, eras, random, onLost, onRegained, onPeersStale, onRestored } = options;
    const propagationTime = Math.min(contactTime, configurationTime ?? 0, maxPropagationTime);
    return new TableWatch({
        clock,
        store,
        table,
        wait: Math.min(maxWait, watchWait(contactTime)),
        sharedWatch: sharedWatchLimits(propagationTime),
        role,
        eras,
        random,
        onSnapshot: rows => applyNewest(rows, options),
        onChanges: changes => applyNewest(changes.flatMap(({ row }) => row ?? []), options),
        onConfirmed: after => {
            configuration.confirm(after);
            options.onConfirmed?.();
        },
        onLost,
        onRegained,
        onPeersStale,
        onRestored,
    });
}

/** Applies the newest row that holds the configuration; one call may return several versions of it. */
function applyNewest(rows: readonly StoredRow[], options: ConfigurationWatchOptions): void {
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
