/** One structured log line. */
export interface LogLine {
    /** Milliseconds since 1970, by the clock of the process. */
    readonly time: number;
    readonly process: string;
    readonly msg: string;
    readonly [field: string]: unknown;
}

/** What the logs tell of one request. */
export interface Explanation {
    /**
     * The lines that name the request, and those that tell why requests like it, by their digest, are held back, in the order of their
     * time.
     */
    readonly story: readonly LogLine[];
    /** By process that handled the request: what it believed when the request ended there. */
    readonly beliefs: ReadonlyMap<string, readonly LogLine[]>;
    /** Lines that hold no structured log line. */
    readonly unreadable: number;
}

/** Sentences by which a process tells what it believes. The newest before the request's end is what counted. */
const beliefMessages = [
    "configuration: configuration in force",
    "process: store lost",
    "process: store regained",
    "process: store came back from a copy",
    "process: table read after a copy",
    "process: stopping",
    "duty: duty taken",
    "duty: duty paused",
];
/** Sentences that say what went wrong near by, and for how many milliseconds before the request's end they matter. */
const eventMessages = [
    "chains: chain built",
    "chains: chain broken",
    "chains: chain stalled",
    "chains: target avoided",
    "directory: target removed",
    "directory: target restarted",
];
const eventWindow = 5_000;
/** Sentences about all attempts of a request, which name it by its digest alone. */
const digestMessages = [
    "request: target crashed under a run",
    "request: request is suspect",
    "request: suspect request judged",
];

/** Collects what log lines tell of a request. */
export function explainRequest(id: string, text: readonly string[]): Explanation {
    const parsed = text.filter(line => line.trim() !== "").map(parseLine);
    const lines = parsed.filter(line => line !== undefined).sort((a, b) => a.time - b.time);
    const own = lines.filter(line => line["request"] === id);
    const digests = new Set(own.flatMap(({ digest }) => typeof digest === "string" ? digest : []));
    const isOfDigest = ({ digest, msg }: LogLine) =>
        typeof digest === "string" && digests.has(digest) && digestMessages.includes(msg);
    const story = lines.filter(line => line["request"] === id || isOfDigest(line));
    const beliefs = new Map<string, readonly LogLine[]>();
    for (const { process, time } of own) {
        beliefs.set(process, findBeliefs(lines.filter(line => line.process === process && line.time <= time), time));
    }
    return { story, beliefs, unreadable: parsed.length - lines.length };
}

/** Writes an explanation as text. */
export function formatExplanation(id: string, { story, beliefs, unreadable }: Explanation): string {
    if (story.length === 0) {
        return `request ${id}: no line names it; ${unreadable} lines could not be read\n`;
    }
    const sections = [...beliefs].map(([process, lines]) =>
        [`what ${process} believed then:`, ...lines.map(line => `  ${formatLine(line)}`)].join("\n")
    );
    const head = [`request ${id}:`, ...story.map(line => `  ${formatLine(line)}`)].join("\n");
    return `${[head, ...sections].join("\n")}\n${unreadable} lines could not be read\n`;
}

function findBeliefs(lines: readonly LogLine[], end: number): LogLine[] {
    const newest = beliefMessages.flatMap(message => lines.findLast(({ msg }) => msg === message) ?? []);
    const events = lines.filter(({ msg, time }) => eventMessages.includes(msg) && time > end - eventWindow);
    return [...newest, ...events].sort((a, b) => a.time - b.time);
}

/** Reads a line, whatever a collector of logs has put before it. */
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
