import { type Configuration } from "./configuration/Configuration.js";
import { type ConfigurationInForce } from "./configuration/ConfigurationInForce.js";
import { createConfigurationWatch } from "./configuration/createConfigurationWatch.js";
import { runInSlices } from "./configuration/runInSlices.js";
import { type TableCopies } from "./copies/TableCopies.js";
import { createTargetWatch } from "./directory/createTargetWatch.js";
import { type TargetDirectory } from "./directory/TargetDirectory.js";
import { type GatewayOptions } from "./GatewayOptions.js";
import { allMechanismsOn } from "./Mechanisms.js";
import { type Observation } from "./observation/Observation.js";
import { type Store } from "./store/Store.js";
import { type StoreEras } from "./store/StoreEras.js";
import { type StoreHealth } from "./store/StoreHealth.js";
import { type TableWatch } from "./store/TableWatch.js";
import { type WatchRole } from "./store/TableWatchOptions.js";

/** Options of {@link createTableWatches}. */
export interface TableWatchesOptions {
    readonly gateway: Pick<GatewayOptions, "clock" | "random" | "tables" | "logs" | "settings" | "isOn">;
    readonly store: Store;
    readonly eras: StoreEras;
    readonly storeHealth: StoreHealth;
    readonly copies: TableCopies;
    readonly configuration: ConfigurationInForce;
    readonly directory: TargetDirectory;
    readonly observation: Observation;
    /** How this process watches tables that peers of its data centre watch too. */
    readonly role: () => WatchRole;
    readonly onChange: (configuration: Configuration) => void;
    readonly onConfigurationConfirmed: () => void;
    readonly onTargetsConfirmed: () => void;
}

/** Creates the watches of the configuration and of the list of targets, by the names of their tables. */
export function createTableWatches(options: TableWatchesOptions): ReadonlyMap<string, TableWatch> {
    const { gateway, store, eras, storeHealth, copies, configuration, directory, observation } = options;
    const { clock, random, tables, logs, settings, isOn = allMechanismsOn } = gateway;
    const createWatchOptions = (table: string) => ({
        clock,
        random,
        store,
        eras,
        table,
        contactTime: settings.contactTime,
        role: () => isOn("shared-watches") ? options.role() : "alone" as const,
        ...storeHealth.createListeners(table),
    });
    const configurationWatch = createConfigurationWatch({
        ...createWatchOptions(tables.configurationTable),
        key: tables.configurationKey,
        configurationTime: settings.configurationTime,
        readFromPeers: isOn("peer-copies")
            ? version => copies.readSnapshot(tables.configurationTable, version)
            : undefined,
        onRow: (row, encoded) => copies.keep(tables.configurationTable, row.version, [row], encoded),
        decode: document => runInSlices(tables.decodeConfiguration(document), clock),
        configuration,
        observation,
        onChange: options.onChange,
        onConfirmed: options.onConfigurationConfirmed,
    });
    const targetWatch = createTargetWatch({
        ...createWatchOptions(tables.targetTable),
        directory,
        drainTime: settings.drainTime,
        decode: (id, document) => tables.decodeTarget(id, document),
        logger: logs.directory,
        onConfirmed: options.onTargetsConfirmed,
    });
    return new Map([[tables.configurationTable, configurationWatch], [tables.targetTable, targetWatch]]);
}
