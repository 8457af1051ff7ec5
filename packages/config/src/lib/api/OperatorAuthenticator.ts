import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { createHash, timingSafeEqual } from "node:crypto";
import { Result } from "true-myth";
import { type Configuration } from "../Configuration.js";
import { type Resource } from "../resources/Resource.js";

/**
 * The identity and role of the sender of a request.
 *
 * @public
 */
export interface Operator {
    /** The name of the credential. */
    readonly name: string;
    readonly role: "viewer" | "operator";
}

/**
 * Options of the authentication of operators.
 *
 * @public
 */
export interface OperatorAuthenticatorOptions {
    /** Hexadecimal SHA-256 of a token with the operator role, for use before any credential exists. */
    readonly bootstrapTokenHash?: string;
    /** True to grant the operator role to requests without a token, for a site on one machine. */
    readonly allowAnonymous?: boolean;
}

const bearer = /^Bearer +(\S+)$/i;

/**
 * Authenticates operators by bearer token. Tokens are compared by hash and never appear in messages.
 *
 * @internal
 */
export class OperatorAuthenticator {
    private indexed: readonly Resource<"credential">[] = [];
    private byHash = new Map<string, Resource<"credential">>();

    constructor(
        private readonly configuration: Configuration,
        private readonly options: OperatorAuthenticatorOptions,
    ) {}

    /** @param header - The `Authorization` header. */
    authenticate(header: string | undefined): Outcome<Operator> {
        if (header === undefined) {
            return this.options.allowAnonymous === true
                ? Result.ok({ name: "anonymous", role: "operator" })
                : Result.err(failure(requestCodes.unauthenticated, "a bearer token is required"));
        }
        const token = bearer.exec(header)?.[1];
        if (token === undefined) {
            return Result.err(failure(requestCodes.unauthenticated, "the Authorization header is not a bearer token"));
        }
        const hash = createHash("sha256").update(token).digest("hex");
        return this.isBootstrap(hash) ? Result.ok({ name: "bootstrap", role: "operator" }) : this.byCredential(hash);
    }

    private isBootstrap(hash: string): boolean {
        const expected = Buffer.from(this.options.bootstrapTokenHash ?? "");
        const given = Buffer.from(hash);
        return expected.length === given.length && timingSafeEqual(expected, given);
    }

    private byCredential(hash: string): Outcome<Operator> {
        const credential = this.index().get(hash);
        if (credential === undefined) {
            return Result.err(failure(requestCodes.unauthenticated, "no credential matches this token"));
        }
        const { name, spec: { role } } = credential;
        return role === "caller"
            ? Result.err(
                failure(
                    requestCodes.forbidden,
                    `credential ${name} has the caller role, which may not use the operator API`,
                ),
            )
            : Result.ok({ name, role });
    }

    private index(): ReadonlyMap<string, Resource<"credential">> {
        const credentials = this.configuration.list("credential");
        if (credentials !== this.indexed) {
            this.indexed = credentials;
            this.byHash = new Map(credentials.map(one => [one.spec.tokenHash, one]));
        }
        return this.byHash;
    }
}
