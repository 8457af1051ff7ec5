import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { createHash, timingSafeEqual } from "node:crypto";
import { Result } from "true-myth";
import { type Configuration } from "../Configuration.js";
import { type Resource } from "../resources/Resource.js";

/**
 * Who sent a request, and what they may do.
 *
 * @public
 */
export interface Operator {
    /** The name of the credential. */
    readonly name: string;
    readonly role: "viewer" | "operator";
}

/**
 * Options of the check of operators' credentials.
 *
 * @public
 */
export interface OperatorAuthenticatorOptions {
    /** SHA-256 of a token that is an operator's before any credential exists, in hexadecimal. */
    readonly bootstrapTokenHash?: string;
    /** True to take requests without a token as an operator's, for a site on one machine. */
    readonly allowAnonymous?: boolean;
}

const bearer = /^Bearer +(\S+)$/i;

/**
 * Tells operators by their bearer token. Tokens are compared by hash, and appear in no message.
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
                : Result.err(failure(requestCodes.unauthenticated, "a bearer token is needed"));
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
            return Result.err(failure(requestCodes.unauthenticated, "no credential has this token"));
        }
        const { name, spec: { role } } = credential;
        return role === "caller"
            ? Result.err(failure(requestCodes.forbidden, `credential ${name} is a caller's`))
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
