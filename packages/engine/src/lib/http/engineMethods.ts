import { z } from "zod";
import {
    cacheEventSchema,
    engineInfoSchema,
    engineLoadSchema,
    orderSchema,
    sessionSchema,
    stepSchema,
} from "../Engine.js";

const undefinedSchema = z.undefined();
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);

/**
 * The methods of an engine over HTTP: `POST /engine/NAME` with a MessagePack body. The response body is a
 * MessagePack outcome.
 *
 * @internal
 */
export const engineMethods = {
    info: { input: undefinedSchema, output: engineInfoSchema },
    tokenize: { input: z.object({ model: z.string(), text: z.string() }), output: z.array(z.number().int()) },
    open: { input: sessionSchema, output: z.object({ cached: z.number().int().nonnegative() }) },
    close: { input: z.object({ session: z.string() }), output: undefinedSchema },
    exportCache: {
        input: z.object({ session: z.string() }),
        output: z.object({ positions: z.number().int().nonnegative(), data: bytes }),
    },
    importCache: {
        input: z.object({ session: z.string(), data: bytes }),
        output: z.object({ positions: z.number().int().nonnegative() }),
    },
    load: { input: undefinedSchema, output: engineLoadSchema },
    cacheEvents: { input: z.object({ after: z.number().int() }), output: z.array(cacheEventSchema) },
    order: { input: orderSchema, output: undefinedSchema },
} as const;

/** @internal */
export type EngineMethod = keyof typeof engineMethods;

/** @internal */
export type MethodInput<Name extends EngineMethod> = z.infer<(typeof engineMethods)[Name]["input"]>;

/** @internal */
export type MethodOutput<Name extends EngineMethod> = z.infer<(typeof engineMethods)[Name]["output"]>;

/** Returns the URL path of a method. @internal */
export function methodPath(method: EngineMethod | "steps"): string {
    return `/engine/${method}`;
}

/**
 * The body of `POST /engine/steps`. The response has one frame per step, in the order in which the steps end.
 *
 * @internal
 */
export const stepsSchema = z.array(stepSchema).min(1);

/** A frame of the response: the index of the step in the request, and its outcome. @internal */
export const stepFrameSchema = z.tuple([z.number().int().nonnegative(), z.unknown()]);
