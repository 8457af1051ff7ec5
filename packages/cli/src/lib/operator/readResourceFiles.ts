import { parseAllDesired, parseJsonc } from "@waxwingspar/config";
import { type Failure, failure, resourceCodes } from "@waxwingspar/utils";
import { readFile } from "node:fs/promises";
import { Result } from "true-myth";
import { z } from "zod";

const listSchema = z.strictObject({ resources: z.array(z.unknown()) });

/** A problem in a file. @internal */
export interface FileFailure extends Failure {
    readonly file: string;
    /** The resource at fault, as `kind/name`. */
    readonly resource?: string;
}

/**
 * Reads resources from files of JSON with comments. A file holds one resource, a list of them, or an object with a list
 * under `resources`. They are validated here, before anything is sent.
 *
 * @internal
 */
export async function readResourceFiles(
    files: readonly string[],
): Promise<Result<readonly unknown[], readonly FileFailure[]>> {
    const documents: unknown[] = [];
    const failures: FileFailure[] = [];
    for (const file of files) {
        const read = await readResourceFile(file);
        if (read.isErr) {
            failures.push(...read.error.map(one => ({ ...one, file })));
        }
        else {
            documents.push(...read.value);
        }
    }
    return failures.length > 0 ? Result.err(failures) : Result.ok(documents);
}

async function readResourceFile(file: string): Promise<Result<readonly unknown[], readonly Failure[]>> {
    const text = await readText(file);
    if (text === undefined) {
        return Result.err([failure(resourceCodes.invalidSyntax, "the file cannot be read")]);
    }
    const parsed = parseJsonc(text);
    if (parsed.isErr) {
        return Result.err([parsed.error]);
    }
    const documents = listDocuments(parsed.value);
    const checked = parseAllDesired(documents);
    return checked.isErr ? Result.err(checked.error) : Result.ok(documents);
}

function listDocuments(value: unknown): readonly unknown[] {
    if (Array.isArray(value)) {
        return value;
    }
    const list = listSchema.safeParse(value);
    return list.success ? list.data.resources : [value];
}

async function readText(file: string): Promise<string | undefined> {
    try {
        return await readFile(file, "utf8");
    }
    catch {
        return undefined;
    }
}
