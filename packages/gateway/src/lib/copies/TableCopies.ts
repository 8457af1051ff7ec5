import { type Clock, type Random } from "@waxwingspar/utils";
import { type Address } from "../GatewaySettings.js";
import { type Observation } from "../observation/Observation.js";
import { type StoredRow } from "../store/Store.js";
import { type StoreEras } from "../store/StoreEras.js";
import { type PeerSnapshot } from "../store/TableWatchOptions.js";
import { CopyReader } from "./CopyReader.js";
import { CopyServer } from "./CopyServer.js";
import { createCopyFetch } from "./fetchCopy.js";

/** Options of {@link TableCopies}. */
export interface TableCopiesOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Address of this gateway, at which peers ask for copies. */
    readonly address: Address;
    readonly eras: StoreEras;
    /** Whether a process at a host may read copies. */
    readonly mayRead: (host: string) => boolean;
    readonly observation: Observation;
}

/** The copies of tables that this gateway hands on, and those that it reads from its peers. */
export class TableCopies {
    readonly reader: CopyReader;
    private readonly server: CopyServer;

    constructor(private readonly options: TableCopiesOptions) {
        const { clock, random, address, eras, observation, mayRead } = options;
        const own = `${address.host}:${address.port}`;
        this.server = new CopyServer({ clock, address, logger: observation.logs.peers, mayRead });
        this.reader = new CopyReader({
            clock,
            random,
            own,
            observation,
            fetch: createCopyFetch({ clock, own }),
            era: () => eras.current,
        });
    }

    start(): Promise<void> {
        return this.server.start();
    }

    stop(): void {
        this.server.stop();
    }

    /** Keeps the rows of a table for peers. `encoded` is the copy as it was received from a peer. */
    keep(table: string, version: number, rows: readonly StoredRow[], encoded: Buffer | undefined): void {
        this.server.keep({ table, version, era: this.options.eras.current, rows: [...rows] }, encoded);
    }

    /** Reads a table from a peer that has at least a version. @returns Undefined if no peer gives one. */
    async readSnapshot(table: string, version: number): Promise<PeerSnapshot | undefined> {
        const read = await this.reader.read(table, version);
        return read === undefined ? undefined : { ...read.copy, encoded: read.encoded, progress: read.progress };
    }
}
