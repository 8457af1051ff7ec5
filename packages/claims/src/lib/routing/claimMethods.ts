import { type RpcMethod } from "@waxwingspar/transport";
import { failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { type Claim, type Claims } from "../Claims.js";

const runnerSchema = z.object({ target: z.string(), incarnation: z.string() });

const maxTextLength = 1024;

const claimRequestSchema = z.object({
    route: z.string().max(maxTextLength),
    organisation: z.string().max(maxTextLength),
    key: z.string().max(maxTextLength),
    digest: z.string().max(maxTextLength),
    runner: runnerSchema,
    retention: z.number().positive(),
});

/** A claim as sent between processes. @internal */
export const claimSchema = z.object({ id: z.string(), runner: runnerSchema, created: z.boolean() });

const acquireSchema = z.object({ request: claimRequestSchema });
const moveSchema = z.object({ claim: claimSchema, request: claimRequestSchema });

/** Names of the JSON-RPC methods. @internal */
export const claimMethodNames = { acquire: "claims.acquire", move: "claims.move" } as const;

/**
 * The JSON-RPC methods through which other entries access the claims of this process.
 *
 * @param claims - The journals of this process.
 * @public
 */
export function claimMethods(claims: Claims): Record<string, RpcMethod> {
    return {
        [claimMethodNames.acquire]: method(acquireSchema, ({ request }) => claims.acquire(request)),
        [claimMethodNames.move]: method(moveSchema, ({ claim, request }) => claims.move(claim, request)),
    };
}

function method<T extends z.ZodType>(
    schema: T,
    run: (params: z.infer<T>) => Promise<Outcome<Claim>>,
): RpcMethod {
    return async (params, link) => {
        if (link.peer.role !== "entry") {
            return Result.err(failure(requestCodes.forbidden, "only entries claim requests"));
        }
        const parsed = schema.safeParse(params);
        return parsed.success
            ? run(parsed.data)
            : Result.err(failure(requestCodes.malformed, "the claim request does not fit its schema"));
    };
}
