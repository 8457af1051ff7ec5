import { z } from "zod";
import { checkPlaintext, daemonFields, nameSchema, originSchema } from "./common.js";

const serviceSchema = z.strictObject({
    name: nameSchema.describe("The service's resource."),
    baseUrl: z.url().describe("Where it answers."),
});

/** Settings of an agent. @internal */
export const agentSettingsSchema = z.strictObject({
    role: z.literal("agent").describe("What the process is."),
    ...daemonFields,
    engine: z.strictObject({
        origin: originSchema.describe("Where the engine answers over HTTP."),
    }).describe("The model engine beside the agent."),
    slots: z.number().int().positive().default(32).describe("Requests that the target runs at once."),
    service: serviceSchema.optional().describe("The plain service beside the agent."),
}).superRefine(checkPlaintext);

/** @internal */
export type AgentProcessSettings = z.infer<typeof agentSettingsSchema>;
