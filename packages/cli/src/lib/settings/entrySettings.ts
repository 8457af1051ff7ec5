import { entryLimitsSchema } from "@waxwingspar/entry";
import { z } from "zod";
import { addressSchema, checkPlaintext, daemonFields, nameSchema } from "./common.js";

/** Settings of an entry. @internal */
export const entrySettingsSchema = z.strictObject({
    role: z.literal("entry").describe("What the process is."),
    ...daemonFields,
    callers: addressSchema.describe("Where callers connect."),
    anonymousOrganisation: nameSchema.optional()
        .describe("The organisation for which callers without a credential act; absent means that they are refused."),
    operatorTokenHash: z.string().regex(/^[0-9a-f]{64}$/, "expected 64 hexadecimal digits").optional()
        .describe(
            "SHA-256 of an operator's token that is valid beside the declared credentials, for the first of them.",
        ),
    limits: entryLimitsSchema.prefault({}).describe("Limits towards callers and targets, in milliseconds and bytes."),
}).superRefine(checkPlaintext);

/** @internal */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
