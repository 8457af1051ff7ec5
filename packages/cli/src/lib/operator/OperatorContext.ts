import { type Failure, platformCodes, resourceCodes, type ResultCode, transportCodes } from "@waxwingspar/utils";
import { type CommandOutput } from "../commands/CommandOutput.js";
import { type OperatorClient } from "./OperatorClient.js";
import { operatorExitCodes } from "./operatorExitCodes.js";

/** The output format of a verb. @internal */
export type OutputFormat = "table" | "json";

/** What each verb needs to run. @internal */
export interface OperatorContext {
    readonly client: OperatorClient;
    readonly output: CommandOutput;
    readonly format: OutputFormat;
}

/** Failures after which it is unknown whether a change was applied. */
const unknownCodes: readonly ResultCode[] = [
    transportCodes.connectionLost,
    platformCodes.storeUnknown,
    platformCodes.storeUnavailable,
];

/**
 * Prints failures, each with its number, resource and field.
 *
 * @returns The exit code.
 * @internal
 */
export function reportFailures(
    output: CommandOutput,
    failures: readonly (Failure & { readonly resource?: string; readonly file?: string; })[],
): number {
    for (const { code, message, path, resource, file } of failures) {
        const place = [file, resource, path].filter(part => part !== undefined && part !== "").join(" ");
        output.writeError(`error ${code.number} ${code.name}${place === "" ? "" : ` (${place})`}: ${message}\n`);
    }
    const codes = failures.map(one => one.code);
    if (codes.includes(resourceCodes.conflict)) {
        return operatorExitCodes.conflict;
    }
    return codes.some(code => unknownCodes.includes(code)) ? operatorExitCodes.unknown : operatorExitCodes.refused;
}

/** Prints a value as JSON. @internal */
export function printJson(output: CommandOutput, value: unknown): void {
    output.write(JSON.stringify(value, undefined, 2) + "\n");
}
