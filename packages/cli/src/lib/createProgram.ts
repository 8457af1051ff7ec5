import { Command } from "commander";
import { type CommandOutput } from "./commands/CommandOutput.js";
import { demoCommand } from "./commands/demoCommand.js";

/** @internal */
export interface ProgramOptions {
    readonly output: CommandOutput;
    /** Sets the exit code of the process. */
    readonly exit: (code: number) => void;
}

/**
 * Creates the `waxwingspar` command.
 *
 * @internal
 */
export function createProgram({ output, exit }: ProgramOptions): Command {
    const program = new Command("waxwingspar")
        .description("A router for model pipelines over mixed accelerators.")
        .configureOutput({ writeOut: output.write, writeErr: output.writeError });
    program.command("demo")
        .description("run a three-stage pipeline, kill a stage in mid-stream, and check the history")
        .action(async () => exit(await demoCommand(output)));
    return program;
}
