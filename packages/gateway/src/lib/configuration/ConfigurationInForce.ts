import { type Clock } from "@waxwingspar/utils";
import { ageOf, type Moment } from "../Moment.js";
import { type Configuration, type Organisation, type Route, type Service } from "./Configuration.js";
import { RouteIndex } from "./RouteIndex.js";

/** Result of checking the credential of a request. */
export type CredentialVerdict =
    | { readonly kind: "accepted"; readonly organisation: Organisation | undefined; }
    | { readonly kind: "unknown"; }
    | { readonly kind: "unconfirmed"; readonly age: number; };

/** Options of {@link ConfigurationInForce}. */
export interface ConfigurationInForceOptions {
    readonly clock: Clock;
    /**
     * Maximum age of the last confirmation, in milliseconds, at which credentials are still accepted. Undefined if a
     * process that is partitioned from the store may keep accepting them.
     */
    readonly maxConfirmationAge: number | undefined;
}

/**
 * The newest configuration that this process knows, and when the store last confirmed that there is no newer one. The
 * version only increases, whatever its source, so a late or repeated read cannot revert a change.
 *
 * @public
 */
export class ConfigurationInForce {
    private configuration: Configuration | undefined;
    private confirmedAt: Moment | undefined;
    private routes = new RouteIndex([]);
    private readonly services = new Map<string, Service>();
    private readonly organisationsByKey = new Map<string, Organisation>();

    constructor(private readonly options: ConfigurationInForceOptions) {}

    /** Undefined until the first configuration is known. */
    get current(): Configuration | undefined {
        return this.configuration;
    }

    /** See {@link ConfigurationInForceOptions.maxConfirmationAge}. */
    get maxConfirmationAge(): number | undefined {
        return this.options.maxConfirmationAge;
    }

    /** Milliseconds since the store was last known to hold no newer version. */
    get confirmationAge(): number {
        return this.confirmedAt === undefined ? Infinity : ageOf(this.confirmedAt, this.options.clock);
    }

    /** Whether a configuration is known that was confirmed recently enough to accept credentials by it. */
    get mayAcceptCredentials(): boolean {
        const { maxConfirmationAge = Infinity } = this.options;
        return this.configuration !== undefined && this.confirmationAge <= maxConfirmationAge;
    }

    /** @returns True if the configuration is newer than the one in force, and replaced it. */
    offer(configuration: Configuration): boolean {
        if (this.configuration !== undefined && configuration.version <= this.configuration.version) {
            return false;
        }
        this.configuration = configuration;
        this.buildIndexes(configuration);
        return true;
    }

    /**
     * Records that the store held no newer version at some time after the given moment.
     *
     * @param asked - When the confirming call was *sent*, not when its reply came, which may have been delayed.
     */
    confirm(asked: Moment): void {
        if (ageOf(asked, this.options.clock) < this.confirmationAge) {
            this.confirmedAt = asked;
        }
    }

    /** @returns The route of the host with the longest matching path prefix. */
    findRoute(hostname: string, path: string): Route | undefined {
        return this.routes.find(hostname, path);
    }

    findService(name: string): Service | undefined {
        return this.services.get(name);
    }

    /** Checks the credential of a request to a route. */
    judgeCredential(route: Route, key: string | undefined): CredentialVerdict {
        if (route.isPublic || this.configuration?.organisations === undefined) {
            return { kind: "accepted", organisation: undefined };
        }
        if (!this.mayAcceptCredentials) {
            return { kind: "unconfirmed", age: this.confirmationAge };
        }
        const organisation = key === undefined ? undefined : this.organisationsByKey.get(key);
        return organisation === undefined ? { kind: "unknown" } : { kind: "accepted", organisation };
    }

    private buildIndexes({ routes, services, organisations }: Configuration): void {
        this.routes = new RouteIndex(routes);
        this.services.clear();
        services.forEach(service => this.services.set(service.name, service));
        this.organisationsByKey.clear();
        for (const organisation of organisations ?? []) {
            organisation.keys.forEach(key => this.organisationsByKey.set(key, organisation));
        }
    }
}
