import { type Configuration, type OrganisationSpec } from "@waxwingspar/config";
import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { createHash } from "node:crypto";
import { Result } from "true-myth";

/**
 * An authenticated caller: the organisation that it acts for, and the spec of that organisation.
 *
 * @internal
 */
export interface Caller {
    readonly organisation: string;
    readonly spec: OrganisationSpec;
}

/** @internal */
export interface AuthenticatorOptions {
    readonly configuration: Configuration;
    /** The organisation assigned to callers without a credential; if absent, such callers are refused. */
    readonly anonymousOrganisation?: string;
}

const bearerPattern = /^Bearer +([\x21-\x7e]{1,512}) *$/i;

/**
 * Finds the organisation of a caller by the hash of its token. The token itself is neither kept nor logged.
 *
 * @internal
 */
export class Authenticator {
    private readonly configuration: Configuration;
    private readonly anonymousOrganisation: string | undefined;
    private organisations = new Map<string, string>();

    constructor({ configuration, anonymousOrganisation }: AuthenticatorOptions) {
        this.configuration = configuration;
        this.anonymousOrganisation = anonymousOrganisation;
        configuration.onChange(() => this.rebuild());
        this.rebuild();
    }

    /** @param authorization - The value of the `Authorization` header. */
    authenticate(authorization: string | undefined): Outcome<Caller> {
        if (authorization === undefined) {
            return this.callerOf(this.anonymousOrganisation);
        }
        const token = bearerPattern.exec(authorization)?.[1];
        return this.callerOf(token === undefined ? undefined : this.organisations.get(hash(token)));
    }

    private callerOf(organisation: string | undefined): Outcome<Caller> {
        if (organisation === undefined) {
            return Result.err(failure(requestCodes.unauthenticated, "a valid bearer token is required"));
        }
        const resource = this.configuration.get("organisation", organisation);
        if (resource === undefined) {
            return Result.err(failure(requestCodes.forbidden, `organisation ${organisation} is not declared`));
        }
        return Result.ok({ organisation, spec: resource.spec });
    }

    private rebuild(): void {
        this.organisations = new Map();
        for (const { spec } of this.configuration.list("credential")) {
            if (spec.role === "caller" && spec.organisation !== undefined) {
                this.organisations.set(spec.tokenHash, spec.organisation);
            }
        }
    }
}

function hash(token: string): string {
    return createHash("sha256").update(token).digest("hex");
}
