import * as z from "zod/mini";

/** A range of layers: `first` is held, `end` is the first one that is not. */
export const layerRangeSchema = z.object({ first: z.number(), end: z.number() });

/** A process that serves requests. It may start again under its id, and then holds and knows nothing of before. */
export const targetSchema = z.object({
    id: z.string(),
    /** When it started, in milliseconds since 1970 by its own clock; undefined where it does not say. */
    startedAt: z.optional(z.number()),
    service: z.string(),
    host: z.string(),
    port: z.number(),
    dataCentre: z.string(),
    state: z.enum(["ready", "draining"]),
    /** The kind of accelerator, where the target holds layers of a model. */
    accelerator: z.optional(z.string()),
    /** The layers it holds; undefined while it holds none. */
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

/** Names one start of a target: what is known of one start says nothing about the next. */
export function incarnationOf({ id, startedAt }: Pick<Target, "id" | "startedAt">): string {
    return startedAt === undefined ? id : `${id}@${startedAt}`;
}

/** Whether two ranges are the same; no range is not the same as any. */
export function sameRange(a: LayerRange | undefined, b: LayerRange): boolean {
    return a !== undefined && a.first === b.first && a.end === b.end;
}
