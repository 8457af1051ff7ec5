import { type Claims } from "@waxwingspar/claims";
import { type Configuration } from "@waxwingspar/config";
import { Entry, type EntryLimits, type EntryMetrics } from "@waxwingspar/entry";
import { createRetryBudget, createRouter, type Router } from "@waxwingspar/policy";
import { type Address, TcpLinkPool } from "@waxwingspar/transport";
import { type Outcome } from "@waxwingspar/utils";
import { createHello, type NodeOptions } from "./NodeOptions.js";

/** @internal */
export interface EntryNodeOptions extends Omit<NodeOptions, "links"> {
    /** Where callers connect. */
    readonly callers: Address;
    readonly configuration: Configuration;
    readonly claims: Claims;
    /** The organisation for which callers without a credential act. */
    readonly anonymousOrganisation?: string;
    readonly limits?: Partial<EntryLimits>;
    readonly metrics?: EntryMetrics;
}

/**
 * An entry with its links.
 *
 * @internal
 */
export class EntryNode {
    readonly entry: Entry;
    readonly router: Router;
    readonly pool: TcpLinkPool;

    constructor(options: EntryNodeOptions) {
        const { clock, random, credentials, logger } = options;
        const hello = createHello({ ...options, links: options.callers }, "entry");
        this.pool = new TcpLinkPool({ hello, credentials, clock, random });
        this.router = createRouter({
            clock,
            random,
            entry: options.name,
            dataCentre: options.dataCentre,
            region: options.region,
        });
        this.entry = new Entry({
            listen: options.callers,
            links: this.pool,
            configuration: options.configuration,
            router: this.router,
            retryBudget: createRetryBudget({ clock, random }),
            claims: options.claims,
            clock,
            logger,
            history: options.record,
            tracer: options.tracer,
            metrics: options.metrics,
            anonymousOrganisation: options.anonymousOrganisation,
            limits: options.limits,
        });
    }

    /** Starts to take callers. */
    start(): Promise<Outcome<Address>> {
        return this.entry.start();
    }

    /**
     * Stops gracefully.
     *
     * @returns How many requests were cut off.
     */
    async stop(): Promise<number> {
        const interrupted = await this.entry.stop();
        this.pool.close();
        return interrupted;
    }
}
