import { failure, type Outcome, resourceCodes } from "@waxwingspar/utils";
import { createReadStream } from "node:fs";
import { Result } from "true-myth";
import { z } from "zod";
import { type HistoryLine, historyLineSchema } from "../HistoryEvent.js";

/**
 * Result of reading one history file.
 *
 * @public
 */
export interface HistoryFile {
    /** Number of complete lines in the file. */
    readonly lines: number;
    /** True if the file ends inside a line, as the file of a killed process may. */
    readonly torn: boolean;
}

/**
 * Reads one history file, line by line.
 *
 * @param path - The file.
 * @param take - Called with each line, in the order of the file.
 * @returns `resourceCodes.invalidSyntax` or `invalidField` for a line that cannot be parsed, with file and line
 * number in the message; `resourceCodes.noSuchResource` for a file that cannot be read. An unterminated last line is
 * not an error.
 * @public
 */
export async function readHistory(path: string, take: (line: HistoryLine) => void): Promise<Outcome<HistoryFile>> {
    let rest = "";
    let lines = 0;
    try {
        for await (const chunk of createReadStream(path, { encoding: "utf8" })) {
            const texts = (rest + (chunk as string)).split("\n");
            rest = texts.pop() ?? "";
            for (const text of texts) {
                lines++;
                const line = parseLine(text, path, lines);
                if (line.isErr) {
                    return Result.err(line.error);
                }
                take(line.value);
            }
        }
    }
    catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        return Result.err(failure(resourceCodes.noSuchResource, `history file ${path}: ${message}`));
    }
    return Result.ok({ lines, torn: rest !== "" });
}

function parseLine(text: string, path: string, number: number): Outcome<HistoryLine> {
    const location = `${path}:${number}`;
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        return Result.err(failure(resourceCodes.invalidSyntax, `${location}: expected a JSON object on one line`));
    }
    const parsed = historyLineSchema.safeParse(value);
    if (!parsed.success) {
        const [issue] = z.prettifyError(parsed.error).split("\n");
        const [first] = parsed.error.issues;
        const field = first?.path.join(".") ?? "";
        const message = `${location}: ${field === "" ? "the line" : field}: ${first?.message ?? issue}`;
        return Result.err(failure(resourceCodes.invalidField, message, { path: field }));
    }
    return Result.ok(parsed.data);
}
