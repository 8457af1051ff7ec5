/** One structured log line. */
export interface LogLine {
    /** Milliseconds since 1970, by the clock of the process. */
    readonly time: number;
    readonly process: string;
    readonly msg: string;
    readonly [field: string]: unknown;
}

/** What the logs contain about one request. */
export interface Explanation {
    /**
     * The lines that name the request, and those that report a request with the same digest, or a part of its prompt,
     * as suspect or judged, in chronological order.
     */
    readonly timeline: readonly LogLine[];
    /** For each process that handled the request: its state, and recent events there, when the request ended. */
    readonly contexts: ReadonlyMap<string, readonly LogLine[]>;
    /** The number of lines without a structured log line. */
    readonly unreadable: number;
}

/** Messages about a process's state. The newest one before the request's end describes the state at that time. */
const stateMessages = [
    "configuration: configuration in force",
    "process: store lost",
    "process: store regained",
    "process: store came back from a copy",
    "process: table read after a copy",
    "process: stopping",
    "duty: duty taken",
    "duty: duty paused",
];
/** Messages about chains and targets that are relevant if they were logged shortly before the request's end. */
const eventMessages = [
    "chains: chain built",
    "chains: chain broken",
    "chains: chain stalled",
    "chains: target avoided",
    "directory: target removed",
    "directory: target restarted",
    "targets: rest asked for",
    "targets: target says that it leaves",
];
/** Milliseconds before the request's end. */
const eventWindow = 5_000;
/** Messages about all attempts of a request, which identify it only by its digest. */
const digestMessages = [
    "request: target crashed under a run",
    "request: request is suspect",
    "request: suspect request judged",
];

/** Messages about parts of prompts, whichever requests had them. */
const partMessages = ["request: part is suspect", "request: suspect part judged"];

/** Collects the log lines about a request. */
export function explainRequest(id: string, text: readonly string[]): Explanation {
    const parsed = text.filter(line => line.trim() !== "").map(parseLine);
    const lines = parsed.filter(line => line !== undefined).sort((a, b) => a.time - b.time);
    const own = lines.filter(line => line["request"] === id);
    const digests = new Set(own.flatMap(({ digest }) => typeof digest === "string" ? digest : []));
    const isOfDigest = ({ digest, msg }: LogLine) =>
        typeof digest === "string" && digests.has(digest) && digestMessages.includes(msg);
    const parts = new Set(own.flatMap(({ parts }) => Array.isArray(parts) ? parts as unknown[] : []));
    const isOfPart = ({ part, msg }: LogLine) => parts.has(part) && partMessages.includes(msg);
    const timeline = lines.filter(line => line["request"] === id || isOfDigest(line) || isOfPart(line));
    const contexts = new Map<string, readonly LogLine[]>();
    for (const { process, time } of own) {
        contexts.set(process, findContext(lines.filter(line => line.process === process && line.time <= time), time));
    }
    return { timeline, contexts, unreadable: parsed.length - lines.length };
}

/** Formats an explanation as text. */
export function formatExplanation(id: string, { timeline, contexts, unreadable }: Explanation): string {
    if (timeline.length === 0) {
        return `request ${id}: no line names it; ${unreadable} lines could not be read\n`;
    }
    const sections = [...contexts].map(([process, lines]) =>
        [`what ${process} believed then:`, ...lines.map(line => `  ${formatLine(line)}`)].join("\n")
    );
    const head = [`request ${id}:`, ...timeline.map(line => `  ${formatLine(line)}`)].join("\n");
    return `${[head, ...sections].join("\n")}\n${unreadable} lines could not be read\n`;
}

function findContext(lines: readonly LogLine[], end: number): LogLine[] {
    const newest = stateMessages.flatMap(message => lines.findLast(({ msg }) => msg === message) ?? []);
    const events = lines.filter(({ msg, time }) => eventMessages.includes(msg) && time > end - eventWindow);
    return [...newest, ...events].sort((a, b) => a.time - b.time);
}

/** Parses a log line, ignoring any prefix that a log collector has added. */
export function parseLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start === -1) {
        return undefined;
    }
    try {
        const line = JSON.parse(text.slice(start)) as Partial<LogLine>;
        return typeof line.time === "number" && typeof line.process === "string" && typeof line.msg === "string"
            ? line as LogLine
            : undefined;
    }
    catch {
        return undefined;
    }
}

function formatLine({ time, process, msg, ...fields }: LogLine): string {
    const details = Object.entries(fields)
        .filter(([name]) => name !== "level" && name !== "request")
        .map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    return [new Date(time).toISOString(), process, msg, ...details].join(" ");
}
