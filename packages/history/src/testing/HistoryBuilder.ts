import { type HistoryEvent, type HistoryLine } from "../lib/HistoryEvent.js";

/** Builds a history in memory, and edits it to plant violations. */
export class HistoryBuilder {
    private readonly files = new Map<string, HistoryLine[]>();
    /** The time of the next line, in milliseconds. */
    time = 1_000_000;

    /** Adds events to the history of a process, which starts with `process.started`. */
    add(process: string, ...events: HistoryEvent[]): void {
        const file = this.files.get(process) ?? this.start(process);
        for (const body of events) {
            file.push(this.line(process, file.length, body));
        }
    }

    /** Closes every history that is still open. */
    close(): void {
        for (const [process, file] of this.files) {
            if (file.at(-1)?.body.event !== "history.closed") {
                this.add(process, { event: "process.stopped", interrupted: 0 }, { event: "history.closed" });
            }
        }
    }

    /** Returns all lines, file by file. */
    lines(): HistoryLine[] {
        return [...this.files.values()].flat();
    }

    /** Returns the names of the processes. */
    processes(): string[] {
        return [...this.files.keys()];
    }

    /** Returns the lines of one process. Changes to the array change the history. */
    file(process: string): HistoryLine[] {
        return this.files.get(process) ?? [];
    }

    /**
     * Replaces the lines for which a condition holds, and renumbers all lines, so that the rule on sequence numbers
     * finds no violation.
     *
     * @param condition - Selects the lines to replace.
     * @param replace - Returns the events that replace a line.
     */
    edit(condition: (line: HistoryLine) => boolean, replace: (line: HistoryLine) => HistoryEvent[]): void {
        for (const [process, file] of this.files) {
            const edited = file.flatMap(line =>
                condition(line) ? replace(line).map(body => ({ ...line, body })) : [line]
            );
            this.files.set(process, edited.map((line, sequence) => ({ ...line, sequence })));
        }
    }

    /** Inserts events before the end of a history. */
    insert(process: string, ...events: HistoryEvent[]): void {
        const file = this.file(process);
        const end = file.findIndex(line => line.body.event === "process.stopped");
        const at = end < 0 ? file.length : end;
        file.splice(at, 0, ...events.map(body => this.line(process, 0, body)));
        this.files.set(process, file.map((line, sequence) => ({ ...line, sequence })));
    }

    private start(process: string): HistoryLine[] {
        const target = process.startsWith("target") ? process : undefined;
        const file = [this.line(process, 0, { event: "process.started", target })];
        this.files.set(process, file);
        return file;
    }

    private line(process: string, sequence: number, body: HistoryEvent): HistoryLine {
        const [name = process, incarnation = "1"] = process.split("#");
        return { process: name, incarnation, sequence, time: this.time, body };
    }
}
