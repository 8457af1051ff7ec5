import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { setTimeout as pause } from "node:timers/promises";

/** @public */
export interface SiteProcessOptions {
    readonly name: string;
    /** The arguments of Node: the script and its arguments. */
    readonly command: readonly string[];
    /** The file to which standard output and standard error are appended. */
    readonly log: string;
    /** Returns a status below 500 once the process is ready; if undefined, the process counts as ready immediately. */
    readonly readyUrl?: string;
    /** Variables beside those of this process. */
    readonly environment?: Readonly<Record<string, string>>;
    /** Maximum megabytes of the JavaScript heap. */
    readonly heapMegabytes?: number;
    /** Maximum number of open descriptors; by default as many as this process may open. */
    readonly maxDescriptors?: number;
}

/** Milliseconds. */
const readyPollInterval = 50;
/** Milliseconds. */
const readyTimeout = 60_000;
const defaultHeapMegabytes = 256;

/**
 * One process of the site under test, a child of the driver.
 *
 * @public
 */
export class SiteProcess {
    readonly name: string;
    /** The signal or exit code with which the process ended; undefined while it runs. */
    end: string | undefined;
    private readonly child: ChildProcess;
    private readonly ended: Promise<void>;

    constructor(private readonly options: SiteProcessOptions) {
        this.name = options.name;
        const { heapMegabytes = defaultHeapMegabytes } = options;
        const memoryLimit = `--max-old-space-size=${heapMegabytes}`;
        const command = [process.execPath, memoryLimit, "--enable-source-maps", ...options.command];
        this.child = spawn(...limitDescriptors(command, options.maxDescriptors), {
            stdio: ["ignore", "pipe", "pipe"],
            env: { ...process.env, ...options.environment },
        });
        const log = createWriteStream(options.log, { flags: "a" });
        this.child.stdout?.pipe(log, { end: false });
        this.child.stderr?.pipe(log, { end: false });
        this.ended = new Promise(resolve => {
            this.child.once("exit", (code, signal) => {
                this.end = signal ?? String(code);
                log.end();
                resolve();
            });
        });
    }

    /** The process id; undefined if it could not be started. */
    get pid(): number | undefined {
        return this.child.pid;
    }

    get running(): boolean {
        return this.end === undefined;
    }

    /** Waits until the process is ready. @throws Error if it exits first or is not ready within a minute. */
    async ready(): Promise<void> {
        const deadline = performance.now() + readyTimeout;
        const { readyUrl } = this.options;
        while (readyUrl !== undefined && !await answers(readyUrl)) {
            if (!this.running || performance.now() > deadline) {
                throw new Error(`${this.name} did not become ready (${this.end ?? "still running"})`);
            }
            await pause(readyPollInterval);
        }
    }

    signal(signal: "SIGTERM" | "SIGHUP" | "SIGKILL" | "SIGSTOP" | "SIGCONT"): void {
        if (this.running) {
            this.child.kill(signal);
        }
    }

    /** Waits until the process has ended; returns false if the limit in milliseconds expires first. */
    async waitForEnd(limit: number): Promise<boolean> {
        const timer = new AbortController();
        await Promise.race([this.ended, pause(limit, undefined, { signal: timer.signal }).catch(() => undefined)]);
        timer.abort();
        return !this.running;
    }

    async kill(): Promise<void> {
        this.signal("SIGKILL");
        await this.ended;
    }
}

/** @returns A program and its arguments that run a command with a limit on its descriptors. */
function limitDescriptors(command: readonly string[], limit: number | undefined): [string, string[]] {
    const [program = "", ...rest] = command;
    return limit === undefined
        ? [program, rest]
        : ["/bin/sh", ["-c", `ulimit -n ${limit}; exec "$0" "$@"`, ...command]];
}

async function answers(url: string): Promise<boolean> {
    try {
        const response = await fetch(url);
        await response.arrayBuffer();
        return response.status < 500;
    }
    catch {
        return false;
    }
}
