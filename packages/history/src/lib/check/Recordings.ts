import { type HistoryLine } from "../HistoryEvent.js";
import { type Finding, type Findings, referenceTo } from "./Findings.js";
import { addTo, getOrCreate, type Rule } from "./Rule.js";

/** State of the history of one incarnation. @internal */
export interface Recording {
    readonly process: string;
    readonly incarnation: string;
    readonly firstTime: number;
    lastTime: number;
    /** The expected sequence number of the next line. */
    next: number;
    /** True if the last line seen is one that ends a history, so that no later line is lost. */
    closed: boolean;
}

/**
 * Tracks which histories are complete. The history of a killed process lacks its last lines: the events in it did
 * happen, but events that are missing from it may have happened as well.
 *
 * @internal
 */
export class Recordings implements Rule {
    private readonly recordings = new Map<string, Recording>();
    private readonly recordingsByTarget = new Map<string, Set<Recording>>();
    /** Recordings with an event that an agent never records. */
    private readonly nonAgents = new Set<Recording>();
    private readonly lost: ReadonlySet<string>;
    private allComplete: boolean | undefined;
    private nonAgentsComplete: boolean | undefined;
    private readonly faults = new Map<Recording, Finding[]>();

    /** @param lost - Names of processes and targets whose histories may be missing entirely. */
    constructor(lost: readonly string[]) {
        this.lost = new Set(lost);
    }

    take(line: HistoryLine): void {
        const recording = getOrCreate(this.recordings, getIncarnationKey(line), () => ({
            process: line.process,
            incarnation: line.incarnation,
            firstTime: line.time,
            lastTime: line.time,
            next: 0,
            closed: false,
        }));
        this.checkSequence(recording, line);
        recording.next = line.sequence + 1;
        recording.lastTime = Math.max(recording.lastTime, line.time);
        recording.closed = line.body.event === "history.closed" || line.body.event === "process.stopped";
        const target = getAgentTarget(line);
        if (isNonAgentEvent(line.body.event)) {
            this.nonAgents.add(recording);
        }
        if (target !== undefined) {
            getOrCreate(this.recordingsByTarget, target, () => new Set<Recording>()).add(recording);
        }
    }

    decide(_recordings: Recordings, findings: Findings): void {
        for (const recording of this.recordings.values()) {
            findings.addCase("recording", this.faults.get(recording) ?? [], this.isComplete(recording));
        }
    }

    all(): Iterable<Recording> {
        return this.recordings.values();
    }

    get(line: HistoryLine): Recording | undefined {
        return this.recordings.get(getIncarnationKey(line));
    }

    isComplete(recording: Recording): boolean {
        return recording.closed && !this.lost.has(recording.process);
    }

    /** Whether the histories of all agents of a target are complete. */
    isTargetComplete(target: string): boolean {
        const writers = this.recordingsByTarget.get(target);
        return writers !== undefined && !this.lost.has(target) && [...writers].every(writer => this.isComplete(writer));
    }

    /** Whether no history is lost or incomplete. Call it only after the last line, because the result is cached. */
    areAllComplete(): boolean {
        this.allComplete ??= this.lost.size === 0 && this.areComplete([...this.recordings.values()]);
        return this.allComplete;
    }

    /**
     * Whether all histories except those of agents are complete. Agents receive no requests from callers and accept no
     * changes of configuration. Call it only after the last line, because the result is cached.
     */
    areNonAgentsComplete(): boolean {
        this.nonAgentsComplete ??= this.checkNonAgentsComplete();
        return this.nonAgentsComplete;
    }

    private checkNonAgentsComplete(): boolean {
        const writers = [...this.recordingsByTarget.values()].flatMap(recordings => [...recordings]);
        const agents = new Set(writers.filter(recording => !this.nonAgents.has(recording)));
        const names = new Set([...this.recordingsByTarget.keys(), ...[...agents].map(({ process }) => process)]);
        return [...this.lost].every(name => names.has(name))
            && this.areComplete([...this.recordings.values()].filter(recording => !agents.has(recording)));
    }

    private areComplete(recordings: readonly Recording[]): boolean {
        return recordings.every(recording => this.isComplete(recording));
    }

    private checkSequence(recording: Recording, line: HistoryLine): void {
        if (line.sequence === recording.next) {
            return;
        }
        const message = `expected sequence ${recording.next} of ${line.process} but found ${line.sequence}`;
        addTo(this.faults, recording, { message, lines: [referenceTo(line)] });
    }
}

/** Whether an event shows that its process is more than an agent. */
function isNonAgentEvent(event: HistoryLine["body"]["event"]): boolean {
    return event === "request.received" || event === "config.accepted" || event === "write.effect";
}

/** Returns a map key for the incarnation that recorded a line. @internal */
export function getIncarnationKey({ process, incarnation }: Pick<HistoryLine, "process" | "incarnation">): string {
    return `${process}\n${incarnation}`;
}

/** Returns the target of the agent that recorded a line, if the event names it. */
function getAgentTarget({ body }: HistoryLine): string | undefined {
    switch (body.event) {
        case "process.started":
        case "work.accepted":
        case "work.refused":
        case "layers.run":
        case "layers.reused":
        case "service.run":
        case "order.applied":
            return body.target;
        default:
            return undefined;
    }
}
