/**
 * Lets a process run for a part of each period only: `node throttle.js PID`. The parts arrive as messages from the parent
 * process. It is a process of its own because it blocks its thread.
 */
import { type ProcessorPart } from "./lib/Throttle.js";

const pid = Number(process.argv[2]);
const sleeper = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT));
let part: ProcessorPart | undefined;

process.on("message", (message: ProcessorPart) => part = message);
process.on("disconnect", () => process.exit(0));

function runPeriod(): void {
    if (part !== undefined) {
        signal("SIGCONT");
        Atomics.wait(sleeper, 0, 0, part.running);
        signal("SIGSTOP");
        Atomics.wait(sleeper, 0, 0, part.standing);
    }
    setTimeout(runPeriod, 0);
}

function signal(name: "SIGCONT" | "SIGSTOP"): void {
    try {
        process.kill(pid, name);
    }
    catch {
        // The throttled process has ended.
        process.exit(0);
    }
}

runPeriod();
