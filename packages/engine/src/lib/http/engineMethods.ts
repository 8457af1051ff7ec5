import { z } from "zod";
import {
    cacheEventSchema,
    engineInfoSchema,
    engineLoadSchema,
    orderSchema,
    sessionSchema,
    stepSchema,
} from "../Engine.js";

const nothing = z.undefined();
const bytes = z.custom<Uint8Array>(value => value instanceof Uint8Array);

/**
 * The calls of an engine over HTTP: `POST /engine/NAME` with a MessagePack body, answered by a MessagePack outcome.
 *
 * @internal
 */
export const engineMethods = {
    info: { input: nothing, output: engineInfoSchema },
    tokenize: { input: z.object({ model: z.string(), text: z.string() }), output: z.array(z.number().int()) },
    open: { input: sessionSchema, output: z.object({ cached: z.number().int().nonnegative() }) },
    close: { input: z.object({ session: z.string() }), output: nothing },
    exportCache: {
        input: z.object({ session: z.string() }),
        output: z.object({ positions: z.number().int().nonnegative(), data: bytes }),
    },
    importCache: {
        input: z.object({ session: z.string(), data: bytes }),
        output: z.object({ positions: z.number().int().nonnegative() }),
    },
    load: { input: nothing, output: engineLoadSchema },
    cacheEvents: { input: z.object({ after: z.number().int() }), output: z.array(cacheEventSchema) },
    order: { input: orderSchema, output: nothing },
} as const;

/** @internal */
export type EngineMethod = keyof typeof engineMethods;

/** @internal */
export type MethodInput<Name extends EngineMethod> = z.infer<(typeof engineMethods)[Name]["input"]>;

/** @internal */
export type MethodOutput<Name extends EngineMethod> = z.infer<(typeof engineMethods)[Name]["output"]>;

/** The path of a method. @internal */
export function methodPath(method: EngineMethod | "steps"): string {
    return `/engine/${method}`;
}

/**
 * The body of `POST /engine/steps`. It is answered by one frame for each step, in the order in which they end.
 *
 * @internal
 */
export const stepsSchema = z.array(stepSchema).min(1);

/** A frame of the answer: the index of the step in the request, and its outcome. @internal */
export const stepFrameSchema = z.tuple([z.number().int().nonnegative(), z.unknown()]);
