import { write } from "node:fs";

/** Options of {@link LogDestination}. */
export interface LogDestinationOptions {
    /** The file descriptor to write to. Default: standard output. */
    readonly descriptor?: number;
    /** Maximum bytes to buffer; further lines are dropped and counted. */
    readonly maxPending?: number;
    /** Milliseconds for which lines are collected into one write. */
    readonly delay?: number;
}

/**
 * Bytes, enough for about four thousand lines of usual size.
 */
const defaultMaxPending = 1_000_000;
const defaultDelay = 20;
const standardOutput = 1;
/** Milliseconds to wait before the next write when the pipe is full. */
const retryDelay = 50;

/**
 * Writes log lines without blocking the event loop. At most one write is in progress; further lines wait in a bounded
 * buffer, and lines that do not fit are dropped and reported as a count in a separate line.
 */
export class LogDestination {
    private pending: string[] = [];
    private pendingBytes = 0;
    private droppedLines = 0;
    private isWriting = false;
    private readonly descriptor: number;
    private readonly maxPending: number;
    private readonly delay: number;

    constructor(options: LogDestinationOptions = {}) {
        this.descriptor = options.descriptor ?? standardOutput;
        this.maxPending = options.maxPending ?? defaultMaxPending;
        this.delay = options.delay ?? defaultDelay;
    }

    /** Queues one line, which includes its line feed. */
    write(line: string): void {
        if (this.pendingBytes + line.length > this.maxPending) {
            this.droppedLines++;
            return;
        }
        this.pending.push(line);
        this.pendingBytes += line.length;
        if (!this.isWriting) {
            this.isWriting = true;
            setTimeout(() => this.flush(), this.delay);
        }
    }

    private flush(): void {
        if (this.droppedLines > 0) {
            this.pending.push(`{"level":40,"msg":"logs: lines dropped","dropped":${this.droppedLines}}\n`);
            this.droppedLines = 0;
        }
        const data = Buffer.from(this.pending.join(""));
        this.pending = [];
        this.writeAll(data);
    }

    private writeAll(data: Buffer): void {
        write(this.descriptor, data, 0, data.length, null, (error, written) => {
            const rest = error === null ? data.subarray(written) : data;
            if (error !== null && error.code !== "EAGAIN") {
                // The output was closed, and there is no other place to report the error.
                this.pendingBytes = 0;
                this.isWriting = false;
                return;
            }
            if (rest.length > 0) {
                setTimeout(() => this.writeAll(rest), error === null ? 0 : retryDelay);
                return;
            }
            this.pendingBytes = this.pending.reduce((total, line) => total + line.length, 0);
            this.isWriting = this.pending.length > 0;
            if (this.isWriting) {
                this.flush();
            }
        });
    }
}
