import { type Clock, SystemClock } from "@waxwingspar/utils";
import { type Command, InvalidArgumentError, Option } from "commander";
import { readFileSync } from "node:fs";
import { type CommandOutput } from "../commands/CommandOutput.js";
import { applyCommand, deleteCommand, diffCommand } from "./changeCommands.js";
import { OperatorClient } from "./OperatorClient.js";
import { type OperatorContext, type OutputFormat } from "./OperatorContext.js";
import { operatorExitCodes } from "./operatorExitCodes.js";
import { getCommand, statusCommand, watchCommand } from "./readCommands.js";

const defaultServer = "http://127.0.0.1:8081";
const millisecondsPerSecond = 1000;

/** @internal */
export interface OperatorCommandOptions {
    readonly output?: CommandOutput;
    /** Sets the exit code of the process. */
    readonly exit?: (code: number) => void;
    readonly clock?: Clock;
    readonly environment?: Readonly<Record<string, string | undefined>>;
    /** Ends a watch. */
    readonly signal?: AbortSignal;
}

/** Options that every verb has. */
interface CommonOptions {
    readonly server: string;
    readonly tokenFile?: string;
    readonly output: OutputFormat;
}

/**
 * Registers the verbs with which operators use the resource API: get, apply, diff, delete, status and watch.
 *
 * @internal
 */
export function registerOperatorCommands(program: Command, options: OperatorCommandOptions = {}): void {
    const setup = { ...createDefaults(), ...options };
    addReadVerbs(program, setup);
    addChangeVerbs(program, setup);
}

type Setup = Required<Omit<OperatorCommandOptions, "signal">> & Pick<OperatorCommandOptions, "signal">;

function createDefaults(): Setup {
    return {
        output: {
            write: text => void process.stdout.write(text),
            writeError: text => void process.stderr.write(text),
        },
        exit: code => {
            process.exitCode = code;
        },
        clock: new SystemClock(),
        environment: process.env,
    };
}

function addReadVerbs(program: Command, setup: Setup): void {
    addVerb(program, "get [kind] [name]", "show resources, and whether they are in force")
        .action((kind: string | undefined, name: string | undefined, options: CommonOptions) =>
            run(setup, options, context => getCommand(context, kind, name))
        );
    addVerb(program, "status", "show whether the accepted configuration is in force, and which hosts are behind")
        .option("--wait", "wait until everything is in force", false)
        .option("--timeout <seconds>", "the longest wait", parseWholeNumber, 10)
        .action((options: CommonOptions & { wait: boolean; timeout: number; }) => {
            const timeout = options.timeout * millisecondsPerSecond;
            return run(
                setup,
                options,
                context => statusCommand(context, { wait: options.wait, timeout, clock: setup.clock }),
            );
        });
    addVerb(program, "watch [kind]", "show each change as it comes into force")
        .option("--revision <revision>", "start after this revision instead of now", parseWholeNumber)
        .action((kind: string | undefined, options: CommonOptions & { revision?: number; }) =>
            run(
                setup,
                options,
                context => watchCommand(context, { kind, revision: options.revision, signal: setup.signal }),
            )
        );
}

function addChangeVerbs(program: Command, setup: Setup): void {
    addVerb(program, "apply", "create or change all resources of the files, or none")
        .requiredOption("-f, --file <file...>", "files of JSON with comments, one or more resources each")
        .option("--dry-run", "check everything, but write nothing", false)
        .action((options: CommonOptions & { file: string[]; dryRun: boolean; }) =>
            run(setup, options, context => applyCommand(context, options.file, options.dryRun))
        );
    addVerb(program, "diff", "show what applying files would change")
        .requiredOption("-f, --file <file...>", "files of JSON with comments, one or more resources each")
        .action((options: CommonOptions & { file: string[]; }) =>
            run(setup, options, context => diffCommand(context, options.file))
        );
    addVerb(program, "delete <kind> <name>", "remove a resource that no other resource refers to")
        .option("--version <version>", "only if it has this version", parseWholeNumber)
        .option("--dry-run", "check everything, but write nothing", false)
        .action((kind: string, name: string, options: CommonOptions & { version?: number; dryRun: boolean; }) =>
            run(setup, options, context => deleteCommand(context, kind, name, options))
        );
}

function addVerb(program: Command, usage: string, description: string): Command {
    return program.command(usage)
        .description(description)
        .option("--server <url>", `where the API listens; else WAXWINGSPAR_SERVER, else ${defaultServer}`)
        .option("--token-file <file>", "a file with the bearer token; else WAXWINGSPAR_TOKEN")
        .addOption(new Option("-o, --output <format>", "how to print").choices(["table", "json"]).default("table"));
}

async function run(
    { output, exit, clock, environment }: Setup,
    options: CommonOptions,
    use: (context: OperatorContext) => Promise<number>,
): Promise<void> {
    const server = options.server ?? environment["WAXWINGSPAR_SERVER"] ?? defaultServer;
    const token = readToken(options.tokenFile, environment["WAXWINGSPAR_TOKEN"]);
    if (!URL.canParse(server) || token === unreadable) {
        output.writeError(token === unreadable ? "the token file cannot be read\n" : `${server} is not a URL\n`);
        exit(operatorExitCodes.usage);
        return;
    }
    const client = new OperatorClient({ server, token, clock });
    exit(await use({ client, output, format: options.output }));
}

const unreadable = Symbol("unreadable");

function readToken(file: string | undefined, fallback: string | undefined): string | undefined | typeof unreadable {
    if (file === undefined) {
        return fallback;
    }
    try {
        return readFileSync(file, "utf8").trim();
    }
    catch {
        return unreadable;
    }
}

function parseWholeNumber(text: string): number {
    const number = Number(text);
    if (!Number.isSafeInteger(number) || number < 0) {
        throw new InvalidArgumentError("expected a whole number");
    }
    return number;
}
