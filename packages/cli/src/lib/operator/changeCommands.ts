import { uniqueId } from "@waxwingspar/utils";
import { type Result } from "true-myth";
import { type ChangeAnswer, changeAnswerSchema } from "./apiAnswers.js";
import { formatTable } from "./formatTable.js";
import { type OperatorRequest } from "./OperatorClient.js";
import { type OperatorContext, printJson, reportFailures } from "./OperatorContext.js";
import { operatorExitCodes } from "./operatorExitCodes.js";
import { readResourceFiles } from "./readResourceFiles.js";

/**
 * Applies files of resources as one change: all of them or none.
 *
 * @returns The exit code.
 * @internal
 */
export async function applyCommand(
    context: OperatorContext,
    files: readonly string[],
    dryRun: boolean,
): Promise<number> {
    const documents = await readResourceFiles(files);
    if (documents.isErr) {
        reportFailures(context.output, documents.error);
        return operatorExitCodes.usage;
    }
    const answer = await sendChange(context, {
        method: "POST",
        path: `apply${dryRun ? "?dryRun=true" : ""}`,
        body: { changes: documents.value },
    });
    return answer.isErr ? answer.error : printChange(context, answer.value);
}

/**
 * Shows what applying files would change, field by field.
 *
 * @returns The exit code: `differs` if anything would change.
 * @internal
 */
export async function diffCommand(context: OperatorContext, files: readonly string[]): Promise<number> {
    const documents = await readResourceFiles(files);
    if (documents.isErr) {
        reportFailures(context.output, documents.error);
        return operatorExitCodes.usage;
    }
    const body = { changes: documents.value };
    const answer = await sendChange(context, { method: "POST", path: "apply?dryRun=true", body });
    if (answer.isErr) {
        return answer.error;
    }
    printDifferences(context, answer.value);
    const same = answer.value.results.every(({ action }) => action === "unchanged");
    return same ? operatorExitCodes.done : operatorExitCodes.differs;
}

/** @internal */
export interface DeleteOptions {
    /** The version that the resource must have. */
    readonly version?: number;
    readonly dryRun: boolean;
}

/**
 * Removes one resource.
 *
 * @returns The exit code.
 * @internal
 */
export async function deleteCommand(
    context: OperatorContext,
    kind: string,
    name: string,
    { version, dryRun }: DeleteOptions,
): Promise<number> {
    const path = `resources/${encodeURIComponent(kind)}/${encodeURIComponent(name)}${dryRun ? "?dryRun=true" : ""}`;
    const headers: Record<string, string> = version === undefined ? {} : { "if-match": `"${version}"` };
    const answer = await sendChange(context, { method: "DELETE", path, headers });
    return answer.isErr ? answer.error : printChange(context, answer.value);
}

/** Sends a change with a unique idempotency key, so that a retry does not apply it twice. */
async function sendChange(context: OperatorContext, asked: OperatorRequest): Promise<Result<ChangeAnswer, number>> {
    const headers = { ...asked.headers, "idempotency-key": uniqueId() };
    const reply = await context.client.send({ ...asked, headers });
    return reply
        .map(value => changeAnswerSchema.parse(value))
        .mapErr(failures => reportFailures(context.output, failures));
}

function printChange({ output, format }: OperatorContext, answer: ChangeAnswer): number {
    if (format === "json") {
        printJson(output, answer);
        return operatorExitCodes.done;
    }
    const rows = answer.results.map((
        { kind, name, action, resourceVersion },
    ) => [`${kind}/${name}`, action, resourceVersion.toString()]);
    output.write(formatTable(["RESOURCE", "CHANGE", "VERSION"], rows));
    output.write(answer.dryRun ? "dry run: nothing was written\n" : `accepted in revision ${answer.revision}\n`);
    return operatorExitCodes.done;
}

function printDifferences({ output, format }: OperatorContext, answer: ChangeAnswer): void {
    if (format === "json") {
        printJson(output, answer.results.filter(({ action }) => action !== "unchanged"));
        return;
    }
    for (const { kind, name, action, fields } of answer.results) {
        if (action === "unchanged") {
            continue;
        }
        output.write(`${kind}/${name} would be ${action}\n`);
        for (const { path, before, after } of fields) {
            output.write(`  ${path}: ${show(before)} -> ${show(after)}\n`);
        }
    }
}

function show(value: unknown): string {
    return value === undefined ? "(none)" : JSON.stringify(value);
}
