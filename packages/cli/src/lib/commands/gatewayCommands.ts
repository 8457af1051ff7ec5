import { type LogLevel, logLevels } from "@waxwingspar/telemetry";
import { type Command, Option } from "commander";
import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";
import { explainRequest, formatExplanation } from "../explain/explainRequest.js";
import { formatLosses, type LossLimits, summarizeLosses } from "../explain/summarizeLosses.js";
import { type CommandOutput } from "./CommandOutput.js";
import { exitCodes } from "./exitCodes.js";
import { parseCount } from "./parseCount.js";

interface GatewayCommandOptions {
    readonly settings?: string;
    readonly metricsPort?: number;
    readonly log: LogLevel;
    readonly without?: string;
}

/**
 * Registers the commands that run a gateway on the users' platform and analyse its logs.
 *
 * @internal
 */
export function registerGatewayCommands(program: Command, output: CommandOutput, exit: (code: number) => void): void {
    program.command("gateway")
        .description("run a gateway on the users' platform")
        .option("--settings <file>", "the platform's settings; by default the file that its variable names")
        .option("--metrics-port <port>", "serve metrics on this port", parseCount)
        .addOption(new Option("--log <level>", "the least level of logs").choices(logLevels).default("info"))
        .option("--without <names>", "mechanisms to run without, separated by commas; `mechanisms` lists them")
        .action(async (options: GatewayCommandOptions) => exit(await gatewayCommand(options, output)));
    program.command("mechanisms")
        .description("list the mechanisms of a gateway that --without can leave out")
        .action(async () => exit(await mechanismsCommand(output)));
    program.command("explain <request> [log...]")
        .description("explain from logs what happened to a request; reads standard input if no file is given")
        .action(async (request: string, files: string[]) => exit(await explainCommand(request, files, output)));
    program.command("losses [log...]")
        .description("count from logs the requests that were refused, failed or interrupted, by cause and second")
        .option("--pause <milliseconds>", "the longest pause that does not count as an interruption", parseCount)
        .option("--first <milliseconds>", "the latest first byte that does not count as late", parseCount)
        .action(async (files: string[], { pause, first }: { readonly pause?: number; readonly first?: number; }) =>
            exit(await lossesCommand(files, { pause, firstByte: first }, output))
        );
}

/**
 * Runs a gateway until SIGTERM.
 *
 * @returns The exit code.
 */
async function gatewayCommand(options: GatewayCommandOptions, output: CommandOutput): Promise<number> {
    const { runGateway } = await import("../gateway/runGateway.js");
    const { settingsVariable } = await import("@waxwingspar/platform");
    const environment = options.settings === undefined
        ? process.env
        : { ...process.env, [settingsVariable]: options.settings };
    try {
        const { metricsPort, log: logLevel, without } = options;
        return await runGateway({ environment, metricsPort, logLevel, without });
    }
    catch (error) {
        output.writeError(`gateway: ${error instanceof Error ? error.message : String(error)}\n`);
        return exitCodes.usage;
    }
}

/**
 * Lists the mechanisms that can be disabled.
 *
 * @returns The exit code.
 * @internal
 */
export async function mechanismsCommand(output: CommandOutput): Promise<number> {
    const { listMechanisms } = await import("@waxwingspar/gateway");
    listMechanisms().forEach(([name, purpose]) => output.write(`${name.padEnd(20)} ${purpose}\n`));
    return exitCodes.done;
}

/**
 * Explains a request.
 *
 * @returns The exit code: `failed` if no line names the request.
 * @internal
 */
export async function explainCommand(
    request: string,
    files: readonly string[],
    output: CommandOutput,
): Promise<number> {
    const lines = await readLines("explain", files, output);
    if (lines === undefined) {
        return exitCodes.usage;
    }
    const explanation = explainRequest(request, lines);
    output.write(formatExplanation(request, explanation));
    return explanation.timeline.length === 0 ? exitCodes.failed : exitCodes.done;
}

/**
 * Summarizes the requests that were refused, failed or interrupted.
 *
 * @returns The exit code.
 * @internal
 */
export async function lossesCommand(
    files: readonly string[],
    limits: LossLimits,
    output: CommandOutput,
): Promise<number> {
    const lines = await readLines("losses", files, output);
    if (lines === undefined) {
        return exitCodes.usage;
    }
    output.write(formatLosses(summarizeLosses(lines, limits)));
    return exitCodes.done;
}

/** Reads the lines of log files, or of standard input if none is named. @returns Undefined if a read fails. */
async function readLines(
    command: string,
    files: readonly string[],
    output: CommandOutput,
): Promise<string[] | undefined> {
    try {
        const logs = files.length === 0
            ? [await text(process.stdin)]
            : await Promise.all(files.map(file => readFile(file, "utf8")));
        return logs.flatMap(log => log.split("\n"));
    }
    catch (error) {
        output.writeError(`${command}: ${error instanceof Error ? error.message : String(error)}\n`);
        return undefined;
    }
}
