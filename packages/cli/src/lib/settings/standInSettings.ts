import { z } from "zod";
import { addressSchema, nameSchema } from "./common.js";

const hostSchema = z.strictObject({
    process: nameSchema.describe("The name of the process, as in its settings."),
    role: z.enum(["entry", "agent"]).describe("What the process is."),
    ...addressSchema.shape,
    dataCentre: nameSchema.describe("Its data centre."),
    region: nameSchema.describe("Its region."),
    state: z.enum(["live", "leaving"]).default("live").describe("What the platform says of the host."),
});

const heldSchema = z.strictObject({
    model: nameSchema.describe("The model."),
    version: nameSchema.describe("Its version."),
    first: z.number().int().nonnegative().describe("The first layer, counted from 0."),
    last: z.number().int().nonnegative().describe("The last layer, included."),
    adapters: z.array(nameSchema).default([]).describe("Adapters that are loaded for it."),
});

/** Settings of the in-memory stand-ins for the platform's services. @internal */
export const platformSettingsSchema = z.strictObject({
    role: z.literal("platform").describe("What the process is."),
    port: z.number().int().min(0).max(65_535).describe("The port on 127.0.0.1 where the stand-ins answer over HTTP."),
    hosts: z.array(hostSchema).default([]).describe("What the live list shows."),
    listLag: z.number().nonnegative().default(2000).describe("How old the live list is, in milliseconds."),
    layerBytes: z.number().positive().default(1_000_000_000).describe("Bytes of weights of every layer."),
    weightRate: z.number().positive().default(10_000_000_000).describe("Bytes per second that all loads may take."),
    resources: z.array(z.unknown()).default([]).describe("Resources to create at the start, as kind, name and spec."),
});

/** @internal */
export type PlatformSettings = z.infer<typeof platformSettingsSchema>;

/** Settings of a fake engine. @internal */
export const engineSettingsSchema = z.strictObject({
    role: z.literal("engine").describe("What the process is."),
    listen: addressSchema.describe(
        "Where the fake engine answers over HTTP. Anyone who reaches it may give it orders.",
    ),
    held: z.array(heldSchema).default([]).describe("Layers that it holds from the start."),
    slots: z.number().int().positive().default(32).describe("Steps that it runs in one batch."),
    stepTime: z.number().positive().default(5).describe("Milliseconds that every batch takes."),
    checksFence: z.boolean().default(true).describe("Whether it refuses an order with an old fencing number."),
});

/** @internal */
export type EngineSettings = z.infer<typeof engineSettingsSchema>;
