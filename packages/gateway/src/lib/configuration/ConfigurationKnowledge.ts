import { type Clock, type Random } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type Address } from "../GatewaySettings.js";
import { type KnownConfiguration } from "../peers/heartbeat.js";
import { MemberRows } from "../peers/MemberRows.js";
import { type Store } from "../store/Store.js";
import { type StoreEras } from "../store/StoreEras.js";
import { ConfigurationInForce } from "./ConfigurationInForce.js";
import { EraDoubt } from "./EraDoubt.js";

/** Options of {@link ConfigurationKnowledge}. */
export interface ConfigurationKnowledgeOptions {
    readonly clock: Clock;
    readonly random: Random;
    readonly store: Store;
    readonly eras: StoreEras;
    readonly process: string;
    readonly address: Address;
    readonly dataCentre: string;
    readonly maxConfirmationAge: number | undefined;
    readonly logger: Logger;
    /** The configuration in force was confirmed to be the newest one. */
    readonly onConfirmed?: () => void;
}

/** The configuration in force, and what gateways tell each other about it, in heartbeats and in rows of the store. */
export class ConfigurationKnowledge {
    readonly configuration: ConfigurationInForce;
    readonly rows: MemberRows;
    private readonly doubt: EraDoubt;
    private readonly startedAt: number;

    constructor(private readonly options: ConfigurationKnowledgeOptions) {
        const { clock, eras, logger, maxConfirmationAge } = options;
        this.startedAt = clock.now();
        this.configuration = new ConfigurationInForce({
            clock,
            maxConfirmationAge,
            mayConfirm: () => !this.doubt.isOpen,
        });
        this.rows = new MemberRows({ ...options, known: () => this.known });
        this.doubt = new EraDoubt({
            clock,
            eras,
            logger,
            readEras: () => this.readEras(),
            onSettled: () => {
                if (this.configuration.confirmHeld()) {
                    this.noteConfirmed();
                }
            },
        });
    }

    /** What this process knows and tells its peers; undefined if it knows nothing. */
    get known(): KnownConfiguration | undefined {
        const { configuration: { newestKnown }, doubt: { confirmedEra: era } } = this;
        return newestKnown === undefined ? undefined : { ...newestKnown, era };
    }

    start(): void {
        void this.doubt.run();
    }

    stop(): void {
        this.doubt.stop();
    }

    /** Records what a peer knows. */
    hear({ version, age, era }: KnownConfiguration): void {
        this.configuration.noteVersion(version, age);
        this.doubt.note(era);
    }

    /** Records that the configuration in force was confirmed in the current era. */
    noteConfirmed(): void {
        this.doubt.note(this.options.eras.current);
        this.rows.announce();
        this.options.onConfirmed?.();
    }

    private async readEras(): Promise<readonly number[] | undefined> {
        const rows = await this.rows.read();
        // A row does not tell since when, so no confirmation in the life of this process holds against it.
        const age = this.options.clock.now() - this.startedAt;
        rows?.forEach(({ configuration = 0 }) => this.configuration.noteVersion(configuration, age));
        return rows?.flatMap(({ era }) => era ?? []);
    }
}
