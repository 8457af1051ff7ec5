#!/usr/bin/env node
import { CommanderError } from "commander";
import { exitCodes } from "./lib/commands/exitCodes.js";
import { createProgram } from "./lib/createProgram.js";

const program = createProgram({
    output: {
        write: text => void process.stdout.write(text),
        writeError: text => void process.stderr.write(text),
    },
    exit: code => {
        process.exitCode = code;
    },
});
try {
    await program.parseAsync(process.argv);
}
catch (error) {
    if (!(error instanceof CommanderError)) {
        throw error;
    }
    process.exitCode = error.exitCode === 0 ? exitCodes.done : exitCodes.usage;
}
