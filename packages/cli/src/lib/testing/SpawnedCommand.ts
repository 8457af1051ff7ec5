import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const bin = fileURLToPath(new URL("../../bin.js", import.meta.url));
/** Milliseconds. */
const pollInterval = 50;
/** Milliseconds. */
const waitTimeout = 60_000;

/**
 * The waxwingspar command in a child process, for tests.
 *
 * @internal
 */
export class SpawnedCommand {
    output = "";
    errors = "";
    private readonly child: ChildProcess;
    private readonly ended: Promise<number | undefined>;

    constructor(...args: string[]) {
        const child = spawn(process.execPath, [bin, ...args], { stdio: ["ignore", "pipe", "pipe"] });
        child.stdout.on("data", (chunk: Buffer) => this.output += chunk.toString());
        child.stderr.on("data", (chunk: Buffer) => this.errors += chunk.toString());
        this.child = child;
        this.ended = once(child, "close").then(([code]) => typeof code === "number" ? code : undefined);
    }

    /** Waits for the process to exit. @returns The exit code, or undefined if a signal ended the process. */
    end(): Promise<number | undefined> {
        return this.ended;
    }

    /** Sends SIGTERM and waits for the process to exit. @returns The exit code. */
    terminate(): Promise<number | undefined> {
        this.child.kill("SIGTERM");
        return this.ended;
    }

    /** Sends SIGKILL and waits for the process to exit. */
    async kill(): Promise<void> {
        this.child.kill("SIGKILL");
        await this.ended;
    }

    /** Waits until a URL responds with status 200. @throws Error if the process exits first, or after a timeout. */
    async waitFor(url: string): Promise<void> {
        for (let waited = 0; waited < waitTimeout; waited += pollInterval) {
            const response = await fetch(url).catch(() => undefined);
            await response?.arrayBuffer();
            if (response?.status === 200) {
                return;
            }
            if (this.child.exitCode !== null) {
                break;
            }
            await delay(pollInterval);
        }
        throw new Error(`${url} did not respond with status 200: ${this.output}${this.errors}`);
    }
}
