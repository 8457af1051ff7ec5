import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference, referenceTo } from "../Findings.js";
import { getIncarnationKey, type Recordings } from "../Recordings.js";
import { addTo, type EventOf, type Rule } from "../Rule.js";

interface AcceptedWork {
    readonly line: HistoryLine;
    readonly request: string;
}

interface LeavingTarget {
    readonly event: EventOf<"target.leaving">;
    readonly line: HistoryLine;
}

/**
 * A target that is leaving accepts no new work after its bound, until a new incarnation of its agent starts.
 *
 * @internal
 */
export class LeavingRule implements Rule {
    private readonly leaving: LeavingTarget[] = [];
    private readonly accepted = new Map<string, AcceptedWork[]>();

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
                .map(accepted => createLateFinding(accepted, event, referenceTo(line)));
            findings.addCase(
                "leaving",
                found,
                recordings.isTargetComplete(event.target) || isLeavingProcessComplete(line, recordings),
            );
        }
    }
}

function isLate(accepted: HistoryLine, leaving: HistoryLine, bound: number, recordings: Recordings): boolean {
    const startedBefore = (recordings.get(accepted)?.firstTime ?? 0) <= leaving.time;
    const sameIncarnation = getIncarnationKey(accepted) === getIncarnationKey(leaving);
    return (sameIncarnation || startedBefore) && accepted.time > leaving.time + bound;
}

/** Whether the history of the leaving process is complete, so that no work that it accepted later is lost. */
function isLeavingProcessComplete(leaving: HistoryLine, recordings: Recordings): boolean {
    const recording = recordings.get(leaving);
    return recording !== undefined && recordings.isComplete(recording);
}

function createLateFinding(accepted: AcceptedWork, event: EventOf<"target.leaving">, leaving: LineReference): Finding {
    return {
        request: accepted.request,
        message: `target ${event.target} accepted work more than ${event.bound} ms after it began to leave`,
        lines: [leaving, referenceTo(accepted.line)],
    };
}
