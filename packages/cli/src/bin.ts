#!/usr/bin/env node
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
await program.parseAsync(process.argv);
