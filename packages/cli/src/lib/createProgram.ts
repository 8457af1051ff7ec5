import { logLevels } from "@waxwingspar/telemetry";
import { Command, Option } from "commander";
import { createRequire } from "node:module";
import { z } from "zod";
import { checkHistoryCommand, type CheckHistoryOptions, checkSettingsCommand } from "./commands/checkCommands.js";
import { type CommandOutput } from "./commands/CommandOutput.js";
import { demoCommand } from "./commands/demoCommand.js";
import { localCommand, type LocalCommandOptions } from "./commands/localCommand.js";
import { parseAddress } from "./commands/parseAddress.js";
import { engineCommand, platformCommand } from "./commands/standInCommands.js";

/** @internal */
export interface ProgramOptions {
    readonly output: CommandOutput;
    /** Sets the exit code of the process. */
    readonly exit: (code: number) => void;
}

const examples = `
Examples:
  $ waxwingspar demo                                   show the main job, with a stage killed in mid-stream
  $ waxwingspar local                                  a small site on 127.0.0.1:8080, operators on 127.0.0.1:8081
  $ waxwingspar local --callers 127.0.0.1:9080 --operators 127.0.0.1:9081
  $ waxwingspar check settings entry.jsonc
  $ waxwingspar check history run/*.jsonl
  $ waxwingspar platform platform.jsonc                stand-ins for the platform, for trials

Exit codes: 0 done, 1 failed, 2 wrong command line or settings.
`;

/**
 * Creates the `waxwingspar` command.
 *
 * @internal
 */
export function createProgram({ output, exit }: ProgramOptions): Command {
    const program = new Command("waxwingspar")
        .description("A router for model pipelines over mixed accelerators.")
        .version(packageVersion(), "--version", "print the version")
        .configureOutput({ writeOut: output.write, writeErr: output.writeError })
        .addHelpText("after", examples)
        .exitOverride();
    addSiteCommands(program, output, exit);
    addCheckCommands(program, output, exit);
    addStandInCommands(program, output, exit);
    return program;
}

type Exit = ProgramOptions["exit"];

function addSiteCommands(program: Command, output: CommandOutput, exit: Exit): void {
    program.command("demo")
        .description("run a three-stage pipeline, kill a stage in mid-stream, and check the history")
        .action(async () => exit(await demoCommand(output)));
    program.command("local")
        .description("run a small site in one process, on an embedded platform and fake engines")
        .addOption(addressOption("--callers <host:port>", "where callers connect", "127.0.0.1:8080"))
        .addOption(addressOption("--operators <host:port>", "where operators connect", "127.0.0.1:8081"))
        .option("--history <folder>", "write one history file for each node into this folder")
        .addOption(new Option("--log <level>", "the least level of logs").choices(logLevels).default("warn"))
        .action(async (options: LocalCommandOptions) => exit(await localCommand(options, output)));
}

function addCheckCommands(program: Command, output: CommandOutput, exit: Exit): void {
    const check = program.command("check").description("check files");
    check.command("settings <file>")
        .description("check a settings file of any role")
        .action(async (file: string) => exit(await checkSettingsCommand(file, output)));
    check.command("history <file...>")
        .description("check the history files of one run")
        .option("--lost <process...>", "processes that were killed, of which lines may be missing", [])
        .option("--bound <milliseconds>", "time for an accepted configuration to be in force", Number)
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

function addressOption(flags: string, description: string, fallback: string): Option {
    return new Option(flags, description).argParser(parseAddress).default(parseAddress(fallback), fallback);
}

function packageVersion(): string {
    const require = createRequire(import.meta.url);
    return z.object({ version: z.string() }).parse(require("../../package.json")).version;
}
