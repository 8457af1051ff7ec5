import { createLogger } from "@waxwingspar/telemetry";
import { seededRandom, SystemClock } from "@waxwingspar/utils";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { formatDemo } from "../demo/formatReport.js";
import { runDemo } from "../demo/runDemo.js";
import { type CommandOutput } from "./CommandOutput.js";

const seed = 7;

/**
 * Runs the demo.
 *
 * @returns The exit code: 0 only if every check passes.
 * @internal
 */
export async function demoCommand(output: CommandOutput): Promise<number> {
    const historyFolder = await mkdtemp(join(tmpdir(), "waxwingspar-demo-"));
    output.write(
        "Three stages run the layers 0-3, 4-7 and 8-11 of a model on fake engines; each has a spare target.\n",
    );
    output.write("One answer of several at the same time:\n\n");
    const result = await runDemo({
        clock: new SystemClock(),
        random: seededRandom(seed),
        logger: createLogger({ level: "silent" }),
        historyFolder,
        write: output.write,
    });
    if (result.isErr) {
        output.writeError(`demo: ${result.error.code.number} ${result.error.message}\n`);
        return 1;
    }
    output.write(`${formatDemo(result.value)}\n\nhistory files: ${historyFolder}\n`);
    return result.value.checks.every(check => check.holds) ? 0 : 1;
}
