import {
    formatMarkdown,
    HttpCaller,
    type LoadBounds,
    type LoadCaller,
    type LoadSettings,
    type LoadSummary,
    planCalls,
    plotLatencies,
    runLoad,
    summarize,
} from "@waxwingspar/load";
import { SystemClock } from "@waxwingspar/utils";
import { type Command, InvalidArgumentError, Option } from "commander";
import { readFile, writeFile } from "node:fs/promises";
import { cpus } from "node:os";
import { z } from "zod";
import { type CommandOutput } from "./CommandOutput.js";
import { exitCodes } from "./exitCodes.js";
import { parseCount } from "./parseCount.js";

/** Options of `waxwingspar bench`. @internal */
export interface BenchOptions {
    /** The origin at which the site accepts callers. */
    readonly callers: string;
    readonly rate: number;
    readonly duration: number;
    readonly seed: number;
    readonly model: string;
    readonly promptTokens: number;
    readonly maxTokens: number;
    readonly sharedPrefix: number;
    /** A JSON file with the names and tokens of organisations. */
    readonly organisations?: string;
    readonly serviceShare: number;
    readonly service: string;
    readonly firstTokenBound: number;
    readonly tokenBound: number;
    readonly timeout: number;
    readonly maxOpen: number;
    readonly json?: string;
    readonly markdown?: string;
    readonly svg?: string;
}

const callersSchema = z.array(z.strictObject({ name: z.string(), token: z.string().min(1) })).min(1);
/** The share of tokens, and of requests, that must be within the bounds. */
const boundShare = 0.95;
/** Seconds. */
const maxDuration = 86_400;
/** Calls per second. */
const maxRate = 100_000;

/**
 * Registers `waxwingspar bench`, which generates load on a running site.
 *
 * @internal
 */
export function registerBenchCommand(program: Command, output: CommandOutput, exit: (code: number) => void): void {
    program.command("bench")
        .description("generate load on a running site at a fixed rate, and report what callers saw")
        .option("--callers <url>", "where the site accepts callers", parseOrigin, "http://127.0.0.1:8080")
        .addOption(createNumberOption("--rate <calls>", "average calls per second", 10, [0.001, maxRate]))
        .addOption(
            createNumberOption("--duration <seconds>", "how long new calls are started", 30, [0.001, maxDuration]),
        )
        .option("--seed <number>", "the same seed makes the same calls at the same times", parseCount, 1)
        .option("--model <name>", "the model to ask", "demo")
        .option("--prompt-tokens <words>", "words of each prompt", parseCount, 50)
        .option("--max-tokens <tokens>", "maximum tokens of each answer", parseCount, 50)
        .addOption(
            createNumberOption("--shared-prefix <share>", "share of each prompt that all have in common", 0, [0, 1]),
        )
        .option("--organisations <file>", "JSON list of names and tokens over which calls are spread")
        .addOption(createNumberOption("--service-share <share>", "share of calls to the plain service", 0, [0, 1]))
        .option("--service <path>", "name and path of the plain service", "records/work-orders")
        .option("--first-token-bound <ms>", "bound on the first token", parseCount, 540)
        .option("--token-bound <ms>", "bound between tokens, for 95 % of them", parseCount, 72)
        .option("--timeout <ms>", "timeout of one call", parseCount, 60_000)
        .option("--max-open <calls>", "maximum concurrent calls; calls beyond it are not sent", parseCount, 10_000)
        .option("--json <file>", "write the figures as JSON")
        .option("--markdown <file>", "write the report as Markdown")
        .option("--svg <file>", "write a plot of the latencies")
        .action(async (options: BenchOptions) => exit(await benchCommand(options, output)));
}

/**
 * Runs the load and writes the reports.
 *
 * @returns The exit code: 0 if at least one call completed.
 * @internal
 */
export async function benchCommand(options: BenchOptions, output: CommandOutput): Promise<number> {
    const callers = await readCallers(options.organisations);
    if (callers === undefined) {
        output.writeError(`bench: ${options.organisations} is not a JSON list of { "name", "token" }\n`);
        return exitCodes.usage;
    }
    const settings = { ...options, callers } satisfies LoadSettings;
    if (settings.rate * settings.duration > 1_000_000) {
        output.writeError("bench: rate times duration exceeds a million calls\n");
        return exitCodes.usage;
    }
    const summary = await measure(options, settings);
    const report = formatMarkdown(`Load on ${options.callers}`, describeRun(options, callers), summary);
    output.write(report);
    await writeReports(options, report, summary);
    return (summary.outcomes["completed"] ?? 0) > 0 ? exitCodes.done : exitCodes.failed;
}

async function measure(options: BenchOptions, settings: LoadSettings): Promise<LoadSummary> {
    const clock = new SystemClock();
    const bounds: LoadBounds = { firstToken: options.firstTokenBound, token: options.tokenBound, share: boundShare };
    const caller = new HttpCaller(clock, options.callers, options.timeout);
    const calls = planCalls(settings);
    const records = await runLoad({ clock, calls, send: call => caller.call(call), maxOpen: options.maxOpen });
    await caller.close();
    return summarize(records, bounds);
}

async function writeReports({ json, markdown, svg, rate }: BenchOptions, report: string, summary: LoadSummary) {
    if (json !== undefined) {
        await writeFile(json, `${JSON.stringify(summary, undefined, 4)}\n`);
    }
    if (markdown !== undefined) {
        await writeFile(markdown, report);
    }
    if (svg !== undefined) {
        await writeFile(svg, plotLatencies(`Latencies at ${rate} calls/s`, summary));
    }
}

function describeRun(options: BenchOptions, callers: readonly LoadCaller[]): string[] {
    const { rate, duration, seed, model, promptTokens, maxTokens, sharedPrefix, serviceShare } = options;
    const processors = cpus();
    return [
        `${processors.length} processors, ${processors[0]?.model ?? "of unknown kind"}; Node.js ${process.version}`,
        `${rate} calls/s over ${duration} s (Poisson, seed ${seed}), ${serviceShare} of them plain calls, for `
        + `${callers.length} ${callers.length === 1 ? "organisation" : "organisations"}`,
        `model ${model}: prompts of ${promptTokens} words, ${sharedPrefix} of each shared; at most ${maxTokens} `
        + "tokens of answer",
    ];
}

/** Reads the tokens of callers from a file, since other users of a machine can read a command line. */
async function readCallers(file: string | undefined): Promise<readonly LoadCaller[] | undefined> {
    if (file === undefined) {
        return [{ name: "anonymous" }];
    }
    try {
        const parsed = callersSchema.safeParse(JSON.parse(await readFile(file, "utf8")));
        return parsed.success ? parsed.data : undefined;
    }
    catch {
        return undefined;
    }
}

function createNumberOption(
    flags: string,
    description: string,
    fallback: number,
    range: readonly [number, number],
): Option {
    const [least, most] = range;
    return new Option(flags, description).default(fallback).argParser(text => {
        const value = Number(text);
        if (text.trim() === "" || !(value >= least && value <= most)) {
            throw new InvalidArgumentError(`expected a number from ${least} to ${most}`);
        }
        return value;
    });
}

function parseOrigin(text: string): string {
    const url = URL.canParse(text) ? new URL(text) : undefined;
    if (url === undefined || !/^https?:$/.test(url.protocol) || url.pathname !== "/" || url.search !== "") {
        throw new InvalidArgumentError("expected a URL such as http://127.0.0.1:8080");
    }
    return url.origin;
}
