import { logLevels } from "@waxwingspar/telemetry";
import { Command, Option } from "commander";
import { createRequire } from "node:module";
import { z } from "zod";
import { registerBenchCommand } from "./commands/benchCommand.js";
import { checkHistoryCommand, type CheckHistoryOptions, checkSettingsCommand } from "./commands/checkCommands.js";
import { checkGatewayCommand } from "./commands/checkGatewayCommand.js";
import { type CommandOutput } from "./commands/CommandOutput.js";
import { agentCommand, entryCommand } from "./commands/daemonCommands.js";
import { demoCommand } from "./commands/demoCommand.js";
import { registerGatewayCommands } from "./commands/gatewayCommands.js";
import { localCommand, type LocalCommandOptions } from "./commands/localCommand.js";
import { parseAddress } from "./commands/parseAddress.js";
import { parseCount } from "./commands/parseCount.js";
import { engineCommand, platformCommand } from "./commands/standInCommands.js";
import { registerOperatorCommands } from "./operator/registerOperatorCommands.js";

/** @internal */
export interface ProgramOptions {
    readonly output: CommandOutput;
    /** Sets the exit code of the process. */
    readonly exit: (code: number) => void;
}

const examples = `
Examples:
  $ waxwingspar demo                                   stream through a pipeline while a stage is killed
  $ waxwingspar local                                  a small site on 127.0.0.1:8080, operators on 127.0.0.1:8081
  $ waxwingspar local --callers 127.0.0.1:9080 --operators 127.0.0.1:9081
  $ waxwingspar entry entry.jsonc                      one entry of a site, with its settings
  $ waxwingspar agent agent-1.jsonc                    the agent beside one target
  $ waxwingspar gateway --metrics-port 9464            a gateway on the users' platform
  $ waxwingspar explain 9c41d07be2a35f68 gateway-*.log what happened to a request
  $ waxwingspar losses gateway-*.log                   which requests were lost or interrupted, why and when
  $ waxwingspar get target --server http://127.0.0.1:8081
  $ waxwingspar apply -f resources.jsonc               change resources, all or none
  $ waxwingspar check settings entry.jsonc
  $ waxwingspar check history run/*.jsonl
  $ waxwingspar platform platform.jsonc                stand-ins for the platform, for trials

Exit codes: 0 done, 1 failed or refused, 2 wrong command line or settings, 3 diff found differences,
4 conflict with another change, 5 the API could not be reached or the outcome is unknown.
`;

/**
 * Creates the `waxwingspar` command.
 *
 * @internal
 */
export function createProgram({ output, exit }: ProgramOptions): Command {
    const program = new Command("waxwingspar")
        .description("A router for model pipelines over mixed accelerators.")
        .version(readPackageVersion(), "--version", "print the version")
        .configureOutput({ writeOut: output.write, writeErr: output.writeError })
        .addHelpText("after", examples)
        // Lets a subcommand have options of the same name as those of the program, such as --version.
        .enablePositionalOptions()
        .exitOverride();
    addSiteCommands(program, output, exit);
    addDaemonCommands(program, output, exit);
    registerGatewayCommands(program, output, exit);
    registerOperatorCommands(program, { output, exit });
    addCheckCommands(program, output, exit);
    addStandInCommands(program, output, exit);
    registerBenchCommand(program, output, exit);
    return program;
}

type Exit = ProgramOptions["exit"];

function addSiteCommands(program: Command, output: CommandOutput, exit: Exit): void {
    program.command("demo")
        .description("run a three-stage pipeline, kill a stage in mid-stream, and check the history")
        .action(async () => exit(await demoCommand(output)));
    program.command("local")
        .description("run a small site in one process, on an embedded platform and fake engines")
        .addOption(createAddressOption("--callers <host:port>", "where callers connect", "127.0.0.1:8080"))
        .addOption(createAddressOption("--operators <host:port>", "where operators connect", "127.0.0.1:8081"))
        .option("--history <folder>", "write one history file for each node into this folder")
        .addOption(new Option("--log <level>", "the least level of logs").choices(logLevels).default("warn"))
        .action(async (options: LocalCommandOptions) => exit(await localCommand(options, output)));
}

function addDaemonCommands(program: Command, output: CommandOutput, exit: Exit): void {
    program.command("entry <settings>")
        .description("run an entry, which accepts callers")
        .action(async (file: string) => exit(await entryCommand(file, output)));
    program.command("agent <settings>")
        .description("run the agent beside a target")
        .action(async (file: string) => exit(await agentCommand(file, output)));
}

function addCheckCommands(program: Command, output: CommandOutput, exit: Exit): void {
    const check = program.command("check").description("check files");
    check.command("settings <file>")
        .description("check a settings file of any role")
        .action(async (file: string) => exit(await checkSettingsCommand(file, output)));
    check.command("gateway <file>")
        .description("check the settings that the users' platform gives to a gateway")
        .action(async (file: string) => exit(await checkGatewayCommand(file, output)));
    check.command("history <file...>")
        .description("check the history files of one run")
        .option("--lost <process...>", "processes that were killed, whose last lines may be missing", [])
        .option("--bound <milliseconds>", "time within which an accepted configuration must be in force", parseCount)
        .option("--base-revision <revision>", "the last revision accepted before the run", parseCount)
        .action(async (files: string[], options: CheckHistoryOptions) =>
            exit(await checkHistoryCommand(files, options, output))
        );
}

function addStandInCommands(program: Command, output: CommandOutput, exit: Exit): void {
    program.command("platform <settings>")
        .description("serve in-memory stand-ins for the platform, for trials")
        .action(async (file: string) => exit(await platformCommand(file, output)));
    program.command("engine <settings>")
        .description("serve a fake engine, for trials")
        .action(async (file: string) => exit(await engineCommand(file, output)));
}

function createAddressOption(flags: string, description: string, fallback: string): Option {
    return new Option(flags, description).argParser(parseAddress).default(parseAddress(fallback), fallback);
}

function readPackageVersion(): string {
    const require = createRequire(import.meta.url);
    return z.object({ version: z.string() }).parse(require("../../package.json")).version;
}
