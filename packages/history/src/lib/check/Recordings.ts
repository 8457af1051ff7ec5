import { type HistoryLine } from "../HistoryEvent.js";
import { type Finding, type Findings, referenceTo } from "./Findings.js";
import { addTo, getOrCreate, type Rule } from "./Rule.js";

/** What is known of the history of one incarnation. @internal */
export interface Recording {
    readonly process: string;
    readonly incarnation: string;
    readonly firstTime: number;
    lastTime: number;
    /** The sequence number that the next line must have. */
    next: number;
    /** True while the last line seen is one after which nothing is lost. */
    closed: boolean;
}

/**
 * Which histories are whole. The history of a process that was killed lacks its end: what it shows is true, but what
 * it does not show may still have happened.
 *
 * @internal
 */
export class Recordings implements Rule {
    private readonly recordings = new Map<string, Recording>();
    private readonly writers = new Map<string, Set<Recording>>();
    /** Those that have recorded what agents do not. */
    private readonly others = new Set<Recording>();
    private readonly lost: ReadonlySet<string>;
    private everythingWhole: boolean | undefined;
    private wholeButForAgents: boolean | undefined;
    private readonly faults = new Map<Recording, Finding[]>();

    /** @param lost - Names of processes and targets of which whole histories may be missing. */
    constructor(lost: readonly string[]) {
        this.lost = new Set(lost);
    }

    take(line: HistoryLine): void {
        const recording = getOrCreate(this.recordings, keyOf(line), () => ({
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
        const target = ownTarget(line);
        if (isNoAgentEvent(line.body.event)) {
            this.others.add(recording);
        }
        if (target !== undefined) {
            getOrCreate(this.writers, target, () => new Set<Recording>()).add(recording);
        }
    }

    decide(_recordings: Recordings, findings: Findings): void {
        for (const recording of this.recordings.values()) {
            findings.decide("recording", this.faults.get(recording) ?? [], this.isWhole(recording));
        }
    }

    all(): Iterable<Recording> {
        return this.recordings.values();
    }

    of(line: HistoryLine): Recording | undefined {
        return this.recordings.get(keyOf(line));
    }

    isWhole(recording: Recording): boolean {
        return recording.closed && !this.lost.has(recording.process);
    }

    /** Whether nothing that the agents beside a target did is lost. */
    isTargetWhole(target: string): boolean {
        const writers = this.writers.get(target);
        return writers !== undefined && !this.lost.has(target) && [...writers].every(writer => this.isWhole(writer));
    }

    /** Whether no history at all is lost, as far as can be seen. To be asked when all lines have been taken. */
    isEverythingWhole(): boolean {
        this.everythingWhole ??= this.lost.size === 0 && this.areWhole([...this.recordings.values()]);
        return this.everythingWhole;
    }

    /** Whether no history is lost but those of agents, which take no requests and no changes of configuration. */
    isWholeButForAgents(): boolean {
        this.wholeButForAgents ??= this.areOthersWhole();
        return this.wholeButForAgents;
    }

    private areOthersWhole(): boolean {
        const writers = [...this.writers.values()].flatMap(recordings => [...recordings]);
        const agents = new Set(writers.filter(recording => !this.others.has(recording)));
        const names = new Set([...this.writers.keys(), ...[...agents].map(({ process }) => process)]);
        return [...this.lost].every(name => names.has(name))
            && this.areWhole([...this.recordings.values()].filter(recording => !agents.has(recording)));
    }

    private areWhole(recordings: readonly Recording[]): boolean {
        return recordings.every(recording => this.isWhole(recording));
    }

    private checkSequence(recording: Recording, line: HistoryLine): void {
        if (line.sequence === recording.next) {
            return;
        }
        const message = `expected sequence ${recording.next} of ${line.process} but found ${line.sequence}`;
        addTo(this.faults, recording, { message, lines: [referenceTo(line)] });
    }
}

/** Whether an event shows that its process is not only an agent. */
function isNoAgentEvent(event: HistoryLine["body"]["event"]): boolean {
    return event === "request.received" || event === "config.accepted" || event === "write.effect";
}

/** Names the incarnation that recorded a line. @internal */
export function keyOf({ process, incarnation }: Pick<HistoryLine, "process" | "incarnation">): string {
    return `${process}\n${incarnation}`;
}

/** The target that the recording process runs beside, where the line tells. */
function ownTarget({ body }: HistoryLine): string | undefined {
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
