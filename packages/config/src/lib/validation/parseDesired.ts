import { type Failure, failure, resourceCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { type Kind, type Specs, specSchemas } from "../resources/Resource.js";
import { nameSchema } from "../resources/specs.js";
import { kindSchema } from "../revisions/LogEntry.js";
import { type ResourceFailure, withResource } from "./ResourceFailure.js";

/**
 * The desired state of one resource: the spec, or removal if there is no spec.
 *
 * @public
 */
export interface DesiredChange {
    readonly kind: Kind;
    readonly name: string;
    readonly spec?: Specs[Kind];
    /** The version that the resource must have; 0 means that it must not exist; absent means any. */
    readonly resourceVersion?: number;
}

const documentSchema = z.strictObject({
    kind: kindSchema,
    name: nameSchema,
    spec: z.unknown(),
    resourceVersion: z.number().int().nonnegative().optional(),
    /** Part of the output of `get`; ignored, so that this output can be edited and applied. */
    status: z.unknown().optional(),
});

/**
 * Validates a resource document against its schema and fills in defaults.
 *
 * @param document - A value parsed from JSON.
 * @returns The change, or all failures, each with its field.
 * @public
 */
export function parseDesired(document: unknown): Result<DesiredChange, readonly ResourceFailure[]> {
    const parsed = documentSchema.safeParse(document);
    const resource = describeDocument(document);
    if (!parsed.success) {
        return Result.err(withResource(issueFailures(parsed.error, []), resource));
    }
    const { kind, name, resourceVersion } = parsed.data;
    const spec = specSchemas[kind].safeParse(parsed.data.spec);
    if (!spec.success) {
        return Result.err(withResource(issueFailures(spec.error, ["spec"]), resource));
    }
    return Result.ok({ kind, name, spec: spec.data, resourceVersion });
}

/**
 * Validates several resource documents against their schemas.
 *
 * @public
 */
export function parseAllDesired(
    documents: readonly unknown[],
): Result<readonly DesiredChange[], readonly ResourceFailure[]> {
    const parsed = documents.map(parseDesired);
    const failures = parsed.flatMap(one => one.isErr ? one.error : []);
    return failures.length > 0 ? Result.err(failures) : Result.ok(parsed.flatMap(one => one.isOk ? [one.value] : []));
}

function describeDocument(document: unknown): string {
    const named = z.object({ kind: z.string(), name: z.string() }).safeParse(document);
    return named.success ? `${named.data.kind}/${named.data.name}` : "unnamed";
}

function issueFailures(error: z.ZodError, prefix: readonly string[]): Failure[] {
    return error.issues.flatMap(issue => {
        const path = [...prefix, ...issue.path.map(String)];
        if (issue.code === "unrecognized_keys") {
            return issue.keys.map(key => unknownField([...path, key]));
        }
        return [failure(resourceCodes.invalidField, issue.message, { path: path.join(".") })];
    });
}

function unknownField(path: readonly string[]): Failure {
    return failure(resourceCodes.unknownField, "this field is not part of the schema", { path: path.join(".") });
}
