import * as z from "zod/mini";

/** A range of layers from `first` to before `end`. */
export const layerRangeSchema = z.object({ first: z.number(), end: z.number() });

/** A process that serves requests. It may restart under the same id, without the state of its previous incarnation. */
export const targetSchema = z.object({
    id: z.string(),
    /** When the process started, in milliseconds since 1970 by its own clock; undefined if it does not report it. */
    startedAt: z.optional(z.number()),
    service: z.string(),
    host: z.string(),
    port: z.number(),
    dataCentre: z.string(),
    state: z.enum(["ready", "draining"]),
    /** The kind of accelerator, if the target can hold layers of a model. */
    accelerator: z.optional(z.string()),
    /** Number of requests that the target runs at once; undefined if it does not list it. */
    slots: z.optional(z.number()),
    /** The layers that the target holds; undefined if none. */
    layers: z.optional(layerRangeSchema),
});

/** @public */
export type LayerRange = z.infer<typeof layerRangeSchema>;
/** @public */
export type Target = z.infer<typeof targetSchema>;

/** The address as `host:port`. */
export function addressOf(target: Pick<Target, "host" | "port">): string {
    return `${target.host}:${target.port}`;
}

/** Identifies one incarnation of a target. What is known of one incarnation does not apply to the next. */
export function incarnationOf({ id, startedAt }: Pick<Target, "id" | "startedAt">): string {
    return startedAt === undefined ? id : `${id}@${startedAt}`;
}

/** Whether two ranges are equal. An undefined range equals none. */
export function sameRange(a: LayerRange | undefined, b: LayerRange): boolean {
    return a !== undefined && a.first === b.first && a.end === b.end;
}
