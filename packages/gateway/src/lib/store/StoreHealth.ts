import { type Observation } from "../observation/Observation.js";
import { type TableWatchOptions } from "./TableWatchOptions.js";

/** Tracks whether this process can reach the store, from the results of the calls that follow its tables. */
export class StoreHealth {
    private readonly lostTables = new Set<string>();

    constructor(private readonly observation: Observation) {}

    /** False from the first failed call until calls for every table succeed again: tables can fail independently. */
    get isHealthy(): boolean {
        return this.lostTables.size === 0;
    }

    /** Listeners for the watch of a table, which record and log losses, recoveries and stale data. */
    createListeners(
        table: string,
    ): Required<Pick<TableWatchOptions, "onLost" | "onRegained" | "onPeersStale" | "onRestored">> {
        const { metrics, logs } = this.observation;
        return {
            onLost: (reason, waited) => {
                this.lostTables.add(table);
                metrics.storeLosses.add({ table });
                logs.process.warn({ table, reason, waited: Math.round(waited) }, "store lost");
            },
            onPeersStale: age =>
                logs.process.info({ table, age: Math.round(age) }, "peers no longer confirm the table"),
            onRestored: doubt => {
                metrics.tableDoubt.record(doubt, { table });
                logs.process.info({ table, doubt: Math.round(doubt) }, "table read after a copy");
            },
            onRegained: (outage, sinceFailure) => {
                this.lostTables.delete(table);
                logs.process.info(
                    { table, outage: Math.round(outage), sinceFailure: Math.round(sinceFailure) },
                    "store regained",
                );
            },
        };
    }
}
