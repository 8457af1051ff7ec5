import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const bin = fileURLToPath(new URL("../../bin.js", import.meta.url));
const pollInterval = 50;
const patience = 60_000;

/**
 * The waxwingspar command as a process of its own, for tests.
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

    /** Waits for the end. @returns The exit code, undefined if a signal ended it. */
    end(): Promise<number | undefined> {
        return this.ended;
    }

    /** Asks for a graceful stop and waits for the end. */
    terminate(): Promise<number | undefined> {
        this.child.kill("SIGTERM");
        return this.ended;
    }

    /** Ends the process at once, if it still runs. */
    async kill(): Promise<void> {
        this.child.kill("SIGKILL");
        await this.ended;
    }

    /** Waits until a URL answers with status 200. */
    async waitFor(url: string): Promise<void> {
        for (let waited = 0; waited < patience; waited += pollInterval) {
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
        throw new Error(`${url} is not there: ${this.output}${this.errors}`);
    }
}
