import { type Clock, failure, type Outcome, resourceCodes, type Timer } from "@waxwingspar/utils";
import { type FileHandle, open } from "node:fs/promises";
import { Result } from "true-myth";
import { type HistoryEvent, type HistoryLine, type HistoryRecorder } from "../HistoryEvent.js";

/**
 * Options of {@link FileRecorder.open}.
 *
 * @public
 */
export interface FileRecorderOptions {
    readonly clock: Clock;
    /** The file to write; one that exists is replaced. */
    readonly path: string;
    /** The stable name of the process, as in its settings. */
    readonly process: string;
    /** Unique for each start of the process. */
    readonly incarnation: string;
    /** The target that this process runs beside, for an agent. */
    readonly target?: string;
    /** Milliseconds between two writes of what was recorded. */
    readonly flushInterval?: number;
}

const defaultFlushInterval = 100;

/**
 * Writes the history of one incarnation as JSON lines. Recording only fills a buffer, which is written on an interval
 * and on close; a process that is killed loses what was not yet written, and the checker knows that from the missing
 * `history.closed`.
 *
 * @example
 * ```ts
 * const opened = await FileRecorder.open({ clock, path: "entry-1.jsonl", process: "entry-1", incarnation: uniqueId() });
 * if (opened.isOk) {
 *     opened.value.record({ event: "process.stopped", interrupted: 0 });
 *     await opened.value.close();
 * }
 * ```
 * @public
 */
export class FileRecorder {
    /** Takes an event. It may be passed on without the recorder. */
    readonly record: HistoryRecorder = event => this.append(event);

    private sequence = 0;
    private buffer: string[] = [];
    private timer: Timer | undefined;
    private writing: Promise<void> = Promise.resolve();
    private closed = false;
    private lost: string | undefined;

    private constructor(private readonly options: FileRecorderOptions, private readonly file: FileHandle) {}

    /** Opens the file and writes its first line; `resourceCodes.invalidSettings` if the file cannot be written. */
    static async open(options: FileRecorderOptions): Promise<Outcome<FileRecorder>> {
        try {
            const recorder = new FileRecorder(options, await open(options.path, "w"));
            recorder.record({ event: "process.started", target: options.target });
            await recorder.flush();
            return recorder.outcome(recorder);
        }
        catch (error) {
            return unwritable(options.path, error);
        }
    }

    /** Writes everything that was recorded so far. */
    flush(): Promise<void> {
        this.timer?.cancel();
        this.timer = undefined;
        this.writing = this.writing.then(() => this.write());
        return this.writing;
    }

    /**
     * Records the end, writes everything and closes the file. Events that come later are dropped.
     *
     * @returns A failure if any line of the history could not be written.
     */
    async close(): Promise<Outcome<void>> {
        if (!this.closed) {
            this.append({ event: "history.closed" });
            this.closed = true;
            await this.flush();
            await this.file.close();
        }
        return this.outcome(undefined);
    }

    /**
     * Stops as a kill would: what is not written yet is lost, and nothing tells that the history ended. For tests that
     * let a process die without ending the process that runs the test.
     */
    async abandon(): Promise<void> {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.timer?.cancel();
        this.buffer = [];
        await this.writing;
        await this.file.close();
    }

    private append(event: HistoryEvent): void {
        if (this.closed) {
            return;
        }
        const line: HistoryLine = {
            process: this.options.process,
            incarnation: this.options.incarnation,
            sequence: this.sequence++,
            time: this.options.clock.date().getTime(),
            body: event,
        };
        this.buffer.push(JSON.stringify(line));
        this.timer ??= this.options.clock.schedule(
            () => void this.flush(),
            this.options.flushInterval ?? defaultFlushInterval,
        );
    }

    private async write(): Promise<void> {
        const lines = this.buffer;
        this.buffer = [];
        // After a failure the file may end inside a line, so nothing more may follow.
        if (lines.length === 0 || this.lost !== undefined) {
            return;
        }
        try {
            await this.file.appendFile(`${lines.join("\n")}\n`);
        }
        catch (error) {
            this.lost = messageOf(error);
        }
    }

    private outcome<T>(value: T): Outcome<T> {
        return this.lost === undefined ? Result.ok(value) : unwritable(this.options.path, this.lost);
    }
}

function unwritable(path: string, cause: unknown): Outcome<never> {
    return Result.err(failure(resourceCodes.invalidSettings, `history file ${path}: ${messageOf(cause)}`));
}

function messageOf(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
