import { type Clock, type Random } from "@waxwingspar/utils";
import * as z from "zod/mini";
import { type Address } from "../GatewaySettings.js";
import { type Store } from "../store/Store.js";
import { type StoreEras } from "../store/StoreEras.js";
import { type KnownConfiguration } from "./heartbeat.js";

/** A row of the member table. */
const memberSchema = z.object({
    host: z.string(),
    port: z.number(),
    dataCentre: z.string(),
    /** The newest version of the configuration that the gateway knew of. */
    configuration: z.optional(z.number()),
    /** The newest era of the store in which it knew that a gateway had confirmed the configuration. */
    era: z.optional(z.number()),
});

/** @see memberSchema */
export type MemberRow = z.infer<typeof memberSchema>;

/** Options of {@link MemberRows}. */
export interface MemberRowsOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly store: Store;
    readonly eras: StoreEras;
    readonly process: string;
    readonly address: Address;
    readonly dataCentre: string;
    /** What this gateway knows of the configuration. */
    readonly known: () => KnownConfiguration | undefined;
}

const membersTable = "gateways";
/** Milliseconds between attempts to write the row. */
const retryDelay = 500;
/** Milliseconds over which gateways spread their writes after a restore of the store. */
const spread = 2_000;

/** The table of the store in which the gateways of a site are listed. */
export class MemberRows {
    private isStopped = false;
    private hasRegistered = false;
    private isScheduled = false;
    /** The era in the row that was written last. */
    private writtenEra: number | undefined;
    private readonly stopListening: () => void;

    constructor(private readonly options: MemberRowsOptions) {
        this.stopListening = options.eras.onNewEra(() => this.registerAgain());
    }

    stop(): void {
        this.isStopped = true;
        this.stopListening();
    }

    /** Writes the row of this process. */
    async register(): Promise<void> {
        const { clock, store, process, address, dataCentre, known } = this.options;
        for (let expectedVersion = 0; !this.isStopped;) {
            const { version: configuration, era } = known() ?? {};
            const value: MemberRow = { ...address, dataCentre, configuration, era };
            const written = await store.write({ table: membersTable, key: process, value, expectedVersion });
            if (written.kind === "written") {
                this.hasRegistered = true;
                this.writtenEra = era;
                return;
            }
            expectedVersion = written.kind === "conflict" ? written.rows[0]?.version ?? 0 : expectedVersion;
            await new Promise<void>(resolve => void clock.schedule(resolve, retryDelay));
        }
    }

    /** Writes the row again if it names an earlier era than the one in which the configuration was confirmed. */
    announce(): void {
        if (this.hasRegistered && this.options.known()?.era !== this.writtenEra) {
            this.registerAgain();
        }
    }

    /** @returns Undefined if the table cannot be read. Rows of another form are left out. */
    async read(): Promise<MemberRow[] | undefined> {
        const members = await this.options.store.read(membersTable);
        return members.kind === "read"
            ? members.rows.flatMap(({ value }) => memberSchema.safeParse(value).data ?? [])
            : undefined;
    }

    /**
     * Writes the row again after a restore of the store: the copy may lack it, through which gateways that start later
     * discover this process and what it knows.
     */
    private registerAgain(): void {
        if (!this.hasRegistered || this.isScheduled) {
            return;
        }
        const { clock, random } = this.options;
        this.isScheduled = true;
        clock.schedule(() => {
            this.isScheduled = false;
            void this.register();
        }, random.next() * spread);
    }
}
