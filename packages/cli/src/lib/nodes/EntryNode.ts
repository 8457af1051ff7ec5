import { type Claims } from "@waxwingspar/claims";
import { type Configuration } from "@waxwingspar/config";
import { Entry, type EntryLimits, type EntryMetrics, type FindFinalOutcome } from "@waxwingspar/entry";
import {
    createOrganisationLimits,
    createRetryBudgets,
    createRouter,
    type EntryPart,
    type Router,
} from "@waxwingspar/policy";
import { type Address } from "@waxwingspar/transport";
import { type Outcome } from "@waxwingspar/utils";
import { type NodeOptions } from "./NodeOptions.js";
import { type ProcessLinks } from "./ProcessLinks.js";

/** @internal */
export interface EntryNodeOptions extends NodeOptions {
    readonly processLinks: ProcessLinks;
    /** Where callers connect. */
    readonly callers: Address;
    readonly configuration: Configuration;
    readonly claims: Claims;
    /** Looks up the final outcome of a claim whose runner has left. */
    readonly findFinalOutcome?: FindFinalOutcome;
    /** The organisation for which callers without a credential act. */
    readonly anonymousOrganisation?: string;
    /** This entry's index among the live entries, and their number; by default it is the only one. */
    readonly part?: () => EntryPart;
    readonly limits?: Partial<EntryLimits>;
    readonly metrics?: EntryMetrics;
}

/**
 * An entry connected to the links of its process.
 *
 * @internal
 */
export class EntryNode {
    readonly entry: Entry;
    readonly router: Router;
    private readonly links: ProcessLinks;

    constructor(options: EntryNodeOptions) {
        const { clock, random, logger } = options;
        this.links = options.processLinks;
        this.router = createRouter({
            clock,
            random,
            entry: options.name,
            dataCentre: options.dataCentre,
            region: options.region,
        });
        this.entry = new Entry({
            listen: options.callers,
            links: this.links.pool,
            configuration: options.configuration,
            router: this.router,
            retryBudgets: createRetryBudgets({ clock, random }),
            organisationLimits: createOrganisationLimits({ clock, part: options.part }),
            random,
            claims: options.claims,
            findFinalOutcome: options.findFinalOutcome,
            clock,
            logger,
            history: options.record,
            tracer: options.tracer,
            metrics: options.metrics,
            anonymousOrganisation: options.anonymousOrganisation,
            limits: options.limits,
        });
    }

    /** Starts to accept callers. */
    start(): Promise<Outcome<Address>> {
        return this.entry.start();
    }

    /**
     * Stops gracefully.
     *
     * @returns The number of requests that were interrupted.
     */
    async stop(): Promise<number> {
        const interrupted = await this.entry.stop();
        await this.links.close();
        return interrupted;
    }
}
