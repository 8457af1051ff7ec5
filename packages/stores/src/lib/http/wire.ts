import { type Failure, failure, findResultCode, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { liveHostSchema } from "../LiveList.js";
import { faultSettingsSchema } from "../memory/FaultInjector.js";
import { rowSchema, transactionSchema } from "../TableStore.js";

const versionsSchema = z.record(z.string(), z.number().int());

/** Bytes of an object, as base64 in JSON. */
const bytesSchema = z.base64();

/** The schemas of a call's parameters and its result. */
interface CallSchema<P extends z.ZodType, R extends z.ZodType> {
    readonly params: P;
    readonly result: R;
}

function call<P extends z.ZodType, R extends z.ZodType>(params: P, result: R): CallSchema<P, R> {
    return { params, result };
}

const noResult = z.undefined();

/**
 * Every call of the platform's HTTP interface, by the path of its POST request.
 *
 * @internal
 */
export const platformCalls = {
    "/table/get": call(z.object({ key: z.string() }), rowSchema),
    "/table/scan": call(
        z.object({ prefix: z.string(), after: z.string(), limit: z.number().int().positive() }),
        z.array(rowSchema),
    ),
    "/table/commit": call(transactionSchema, versionsSchema),
    "/table/find-commit": call(z.object({ writeId: z.string() }), versionsSchema.optional()),
    "/objects/put": call(z.object({ name: z.string(), data: bytesSchema }), noResult),
    "/objects/get": call(z.object({ name: z.string() }), bytesSchema.optional()),
    "/objects/list": call(z.object({ prefix: z.string() }), z.array(z.string())),
    "/objects/delete": call(z.object({ name: z.string() }), noResult),
    "/live/read": call(z.object({}), z.array(liveHostSchema)),
    "/weights/size": call(
        z.object({ model: z.string(), version: z.string(), first: z.number().int(), last: z.number().int() }),
        z.number(),
    ),
    "/weights/rate": call(z.object({}), z.number()),
    "/admin/faults": call(
        z.object({
            service: z.enum(["table", "objects", "live", "weights"]),
            // An omitted field keeps its value.
            faults: z.object({
                down: z.boolean(),
                delay: z.number().nonnegative(),
                answerDelay: z.number().nonnegative(),
                losesBefore: z.number().int().nonnegative(),
                losesAfter: z.number().int().nonnegative(),
                stale: z.boolean(),
                readsPerSecond: z.number().positive(),
                writesPerSecond: z.number().positive(),
            }).partial().strict(),
        }),
        faultSettingsSchema,
    ),
    /** `save` copies the tables; `use` restores the service from the latest copy. */
    "/admin/table/copy": call(z.object({ action: z.enum(["save", "use"]) }), noResult),
    "/admin/hosts/set": call(liveHostSchema, noResult),
    "/admin/hosts/remove": call(z.object({ process: z.string() }), noResult),
    "/admin/hosts/lag": call(z.object({ lag: z.number().nonnegative() }), noResult),
};

/** @internal */
export type PlatformPath = keyof typeof platformCalls;

/** @internal */
export type PlatformParams<P extends PlatformPath> = z.infer<(typeof platformCalls)[P]["params"]>;

/** @internal */
export type PlatformResult<P extends PlatformPath> = z.infer<(typeof platformCalls)[P]["result"]>;

/**
 * A response: a value or a failure, and the era of the table service.
 *
 * @internal
 */
export const answerSchema = z.object({
    value: z.unknown().optional(),
    failure: z.object({
        /** The number of the result code. */
        code: z.number().int(),
        message: z.string(),
        retryAfter: z.number().optional(),
    }).optional(),
    tableEra: z.number().int().nonnegative().optional(),
});

/** @internal */
export type Answer = z.infer<typeof answerSchema>;

/** Converts an outcome to a response. @internal */
export function toAnswer(outcome: Outcome<unknown>, tableEra: number): Answer {
    if (outcome.isOk) {
        return { value: outcome.value, tableEra };
    }
    const { code, message, retryAfter } = outcome.error;
    return { failure: { code: code.number, message, retryAfter }, tableEra };
}

/** Reads the failure of a response. A result code that this version does not know becomes `storeUnknown`. @internal */
export function toFailure({ code, message, retryAfter }: NonNullable<Answer["failure"]>): Failure {
    const known = findResultCode(code) ?? platformCodes.storeUnknown;
    return failure(known, message, retryAfter === undefined ? {} : { retryAfter });
}

/** Returns the outcome of a call that may or may not have taken effect. @internal */
export function unknownOutcome(message: string): Outcome<never> {
    return Result.err(failure(platformCodes.storeUnknown, message));
}
