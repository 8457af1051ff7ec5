import { type Clock } from "@waxwingspar/utils";
import { ageOf, latestMoment, type Moment } from "../Moment.js";
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
    /** Whether confirmations count yet; always if undefined. */
    readonly mayConfirm?: () => boolean;
}

/** A version of the configuration, and since when it is known to have been in force in a process. */
interface KnownVersion {
    readonly version: number;
    /** On the clock. */
    readonly since: number;
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
    /** The newest confirmation that came before confirmations counted. */
    private heldConfirmation: Moment | undefined;
    private newest: KnownVersion | undefined;
    /** Since when a version newer than the one in force is known to exist; undefined if none is. */
    private outdatedSince: number | undefined;
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
        this.outdatedSince = undefined;
        this.noteVersion(configuration.version, 0);
        return true;
    }

    /** The newest version that this process knows of, and for how many milliseconds it has been in force somewhere. */
    get newestKnown(): { readonly version: number; readonly age: number; } | undefined {
        const { newest, options: { clock } } = this;
        return newest === undefined
            ? undefined
            : { version: newest.version, age: Math.floor(clock.now() - newest.since) };
    }

    /**
     * Records that a version has been in force in some process for `age` milliseconds. A confirmation of an older one
     * since then came from a copy of the store, and counts no longer.
     */
    noteVersion(version: number, age: number): void {
        const since = this.options.clock.now() - age;
        const { version: known = 0, since: knownSince = Infinity } = this.newest ?? {};
        if (version > known || (version === known && since < knownSince)) {
            this.newest = { version, since };
        }
        if (this.newest !== undefined && this.newest.version > (this.configuration?.version ?? Infinity)) {
            this.outdatedSince = Math.min(this.outdatedSince ?? Infinity, this.newest.since);
            if (this.confirmedAt !== undefined && !this.isSound(this.confirmedAt)) {
                this.confirmedAt = undefined;
            }
        }
    }

    /**
     * Records that the store held no newer version at some time after the given moment.
     *
     * @param asked - When the confirming call was *sent*, not when its reply came, which may have been delayed.
     * @returns Whether the confirmation counts.
     */
    confirm(asked: Moment): boolean {
        if (this.options.mayConfirm?.() === false) {
            this.heldConfirmation = latestMoment(this.heldConfirmation, asked);
            return false;
        }
        if (!this.isSound(asked)) {
            return false;
        }
        if (ageOf(asked, this.options.clock) < this.confirmationAge) {
            this.confirmedAt = asked;
        }
        return true;
    }

    /** Records the newest confirmation that came before confirmations counted. @returns Whether there was one. */
    confirmHeld(): boolean {
        return this.heldConfirmation !== undefined && this.confirm(this.heldConfirmation);
    }

    private isSound(confirmation: Moment): boolean {
        return this.outdatedSince === undefined || confirmation.now <= this.outdatedSince;
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
