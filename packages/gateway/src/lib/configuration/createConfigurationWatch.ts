import { type Clock } from "@waxwingspar/utils";
import { type Observation } from "../observation/Observation.js";
import { type Store, type StoredRow } from "../store/Store.js";
import { TableWatch } from "../store/TableWatch.js";
import { type PeerSnapshot, type TableDelivery, type TableWatchOptions } from "../store/TableWatchOptions.js";
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
    readonly decode: (document: unknown) => Configuration | Promise<Configuration>;
    readonly configuration: ConfigurationInForce;
    readonly observation: Observation;
    /** Maximum milliseconds until this process must know of a change while it is in contact with the store. */
    readonly contactTime: number;
    /**
     * Maximum milliseconds from a write to the store until the configuration is in force; undefined if no limit is set.
     */
    readonly configurationTime?: number;
    /** Reads the configuration's table from a peer that has at least a version; undefined if none gives it. */
    readonly readFromPeers?: TableWatchOptions["readFromPeers"];
    /** Called with the row of a configuration that has come into force, and the copy in which a peer sent it. */
    readonly onRow?: (row: StoredRow, encoded: Buffer | undefined) => void;
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
export function createConfigurationWatch(given: ConfigurationWatchOptions): TableWatch {
    const options = { ...given, decode: decodeOnce(given.decode) };
    const { clock, store, table, configuration, contactTime, configurationTime } = options;
    const { role, eras, random, onLost, onRegained, onPeersStale, onRestored } = options;
    const propagationTime = Math.min(contactTime, configurationTime ?? 0, maxPropagationTime);
    return new TableWatch({
        clock,
        store,
        table,
        wait: Math.min(maxWait, watchWait(contactTime)),
        maxConfirmationAge: configuration.maxConfirmationAge,
        sharedWatch: sharedWatchLimits(propagationTime),
        waitsForPeers: options.readFromPeers !== undefined,
        readFromPeers: options.readFromPeers === undefined ? undefined : version => readUsable(version, options),
        role,
        eras,
        random,
        onSnapshot: (rows, _graceEnd, _isRestored, delivery) => applyNewest(rows, delivery, options),
        onChanges: (changes, _graceEnd, delivery) =>
            applyNewest(changes.flatMap(({ row }) => row ?? []), delivery, options),
        onConfirmed: after => {
            if (configuration.confirm(after)) {
                options.onConfirmed?.();
            }
        },
        onLost,
        onRegained,
        onPeersStale,
        onRestored,
    });
}

/** Remembers what a document decodes to, since a copy of a peer is checked before it is applied. */
function decodeOnce(decode: ConfigurationWatchOptions["decode"]): ConfigurationWatchOptions["decode"] {
    const decoded = new WeakMap<object, ReturnType<typeof decode>>();
    return document => {
        if (typeof document !== "object" || document === null) {
            return decode(document);
        }
        const configuration = decoded.get(document) ?? decode(document);
        decoded.set(document, configuration);
        return configuration;
    };
}

/** Reads the table from peers, and rejects what is no configuration or none newer than the one in force. */
async function readUsable(
    version: number,
    { key, decode, configuration, observation, readFromPeers }: ConfigurationWatchOptions,
): Promise<PeerSnapshot | undefined> {
    const snapshot = await readFromPeers?.(version);
    const row = snapshot?.rows.findLast(row => row.key === key);
    if (row === undefined) {
        return undefined;
    }
    try {
        if ((await decode(row.value)).version > (configuration.current?.version ?? 0)) {
            return snapshot;
        }
        observation.logs.configuration.warn({ row: row.version }, "copy of a peer is older than it says");
    }
    catch (error) {
        observation.logs.configuration.warn({ row: row.version, error: String(error) }, "copy of a peer is unusable");
    }
    return undefined;
}

/** Applies the newest row that holds the configuration; one call may return several versions of it. */
async function applyNewest(
    rows: readonly StoredRow[],
    { source, progress, knownFor, encoded }: TableDelivery,
    options: ConfigurationWatchOptions,
): Promise<void> {
    const { clock, key, decode, configuration, observation: { logs, metrics }, onChange } = options;
    const row = rows.findLast(row => row.key === key);
    if (row === undefined) {
        return;
    }
    const startedAt = clock.now();
    let offered: Configuration;
    try {
        offered = await decode(row.value);
    }
    catch (error) {
        logs.configuration.error({ row: row.version, error: String(error) }, "configuration cannot be read");
        return;
    }
    if (!configuration.offer(offered)) {
        return;
    }
    onChange(offered);
    options.onRow?.(row, encoded);
    const decoding = clock.now() - startedAt;
    metrics.configurationDelay.record(knownFor + decoding);
    metrics.configurationDecoding.record(decoding);
    metrics.configurationVersion.observe(() => configuration.current?.version ?? 0);
    logs.configuration.info({
        version: offered.version,
        row: row.version,
        routes: offered.routes.length,
        services: offered.services.length,
        source,
        bytes: progress?.bytes,
        known: Math.round(knownFor + decoding),
        fetching: progress === undefined ? undefined : Math.round(progress.duration),
        decoding: Math.round(decoding),
    }, "configuration in force");
}
