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
    /** The file to write. An existing file is replaced. */
    readonly path: string;
    /** The name of the process in its settings; it stays the same across restarts. */
    readonly process: string;
    /** A unique ID for each start of the process. */
    readonly incarnation: string;
    /** The target of an agent; undefined for other processes. */
    readonly target?: string;
    /** Milliseconds between two writes of recorded events; 100 by default. */
    readonly flushInterval?: number;
}

/** Milliseconds between two writes of recorded events. */
const defaultFlushInterval = 100;

/**
 * Writes the history of one incarnation as JSON lines. Recording only adds to a buffer, which is written at an interval
 * and on close. A killed process loses the events that were not yet written; the checker detects that by the missing
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
    /** Records an event. The function is bound, so it may be passed on without the recorder. */
    readonly record: HistoryRecorder = event => this.append(event);

    private sequence = 0;
    private buffer: string[] = [];
    private timer: Timer | undefined;
    private writing: Promise<void> = Promise.resolve();
    private closed = false;
    /** The error of the first write that failed. */
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
            return createWriteFailure(options.path, error);
        }
    }

    /** Writes all events recorded so far. */
    flush(): Promise<void> {
        this.timer?.cancel();
        this.timer = undefined;
        this.writing = this.writing.then(() => this.write());
        return this.writing;
    }

    /**
     * Records the end, writes all events and closes the file. Events recorded later are dropped.
     *
     * @returns A failure if a line of the history could not be written.
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
     * Stops like a killed process: events not yet written are lost, and the end of the history is not recorded. For
     * tests that simulate the kill of a process within the process that runs the test.
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
        // After a failed write the file may end inside a line, so nothing more is appended.
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
        return this.lost === undefined ? Result.ok(value) : createWriteFailure(this.options.path, this.lost);
    }
}

function createWriteFailure(path: string, cause: unknown): Outcome<never> {
    return Result.err(failure(resourceCodes.invalidSettings, `history file ${path}: ${messageOf(cause)}`));
}

function messageOf(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
