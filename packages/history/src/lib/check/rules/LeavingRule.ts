import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference, referenceTo } from "../Findings.js";
import { keyOf, type Recordings } from "../Recordings.js";
import { addTo, type EventOf, type Rule } from "../Rule.js";

interface Accepted {
    readonly line: HistoryLine;
    readonly request: string;
}

interface Leaving {
    readonly event: EventOf<"target.leaving">;
    readonly line: HistoryLine;
}

/**
 * A target that is leaving accepts no new work once its bound has passed, until a new incarnation of its agent.
 *
 * @internal
 */
export class LeavingRule implements Rule {
    private readonly leaving: Leaving[] = [];
    private readonly accepted = new Map<string, Accepted[]>();

    take(line: HistoryLine): void {
        const { body } = line;
        if (body.event === "target.leaving") {
            this.leaving.push({ event: body, line });
        }
        else if (body.event === "work.accepted") {
            addTo(this.accepted, body.target, { line, request: body.request });
        }
    }

    decide(recordings: Recordings, findings: Findings): void {
        for (const { event, line } of this.leaving) {
            const found = (this.accepted.get(event.target) ?? [])
                .filter(accepted => isLate(accepted.line, line, event.bound, recordings))
                .map(accepted => lateFinding(accepted, event, referenceTo(line)));
            findings.decide("leaving", found, recordings.isTargetWhole(event.target) || isOwnLast(line, recordings));
        }
    }
}

function isLate(accepted: HistoryLine, leaving: HistoryLine, bound: number, recordings: Recordings): boolean {
    const startedBefore = (recordings.of(accepted)?.firstTime ?? 0) <= leaving.time;
    const sameIncarnation = keyOf(accepted) === keyOf(leaving);
    return (sameIncarnation || startedBefore) && accepted.time > leaving.time + bound;
}

/** Whether the process that is leaving has recorded its end, so that nothing behind the leaving is lost. */
function isOwnLast(leaving: HistoryLine, recordings: Recordings): boolean {
    const recording = recordings.of(leaving);
    return recording !== undefined && recordings.isWhole(recording);
}

function lateFinding(accepted: Accepted, event: EventOf<"target.leaving">, leaving: LineReference): Finding {
    return {
        request: accepted.request,
        message: `target ${event.target} accepted work more than ${event.bound} ms after it began to leave`,
        lines: [leaving, referenceTo(accepted.line)],
    };
}
