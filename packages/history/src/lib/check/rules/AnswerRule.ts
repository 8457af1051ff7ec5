import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference, referenceTo } from "../Findings.js";
import { getIncarnationKey, type Recordings } from "../Recordings.js";
import { type RequestIndex } from "../RequestIndex.js";
import { addTo, type EventOf, type Rule } from "../Rule.js";

interface CallerEnd {
    readonly event: EventOf<"caller.ended">;
    readonly line: LineReference;
}

interface CallerSent {
    readonly line: HistoryLine;
    readonly recording: string;
}

/**
 * A caller whose request completed has received the complete answer: the digest of the received text is the expected
 * one, and the entry recorded the request as completed too. Every caller sees its request end exactly once.
 *
 * @internal
 */
export class AnswerRule implements Rule {
    private readonly sent = new Map<string, CallerSent>();
    private readonly ended = new Map<string, CallerEnd[]>();

    constructor(private readonly index: RequestIndex) {}

    take(line: HistoryLine): void {
        const { body } = line;
        if (body.event === "caller.sent") {
            this.sent.set(body.callerRequest, { line, recording: getIncarnationKey(line) });
        }
        else if (body.event === "caller.ended") {
            addTo(this.ended, body.callerRequest, { event: body, line: referenceTo(line) });
        }
    }

    decide(recordings: Recordings, findings: Findings): void {
        for (const [request, sent] of this.sent) {
            if (!this.ended.has(request)) {
                const caller = recordings.get(sent.line);
                const finding = {
                    request,
                    message: "the caller recorded no end of the request",
                    lines: [referenceTo(sent.line)],
                };
                const whole = caller !== undefined && recordings.isComplete(caller);
                findings.addCase("answers", whole ? [finding] : [], false);
            }
        }
        for (const [request, ends] of this.ended) {
            this.decideEnds(request, ends, findings);
        }
    }

    private decideEnds(request: string, ends: readonly CallerEnd[], findings: Findings): void {
        const found: Finding[] = [];
        const lines = ends.map(({ line }) => line);
        if (ends.length > 1) {
            found.push({
                request,
                message: `expected one end of the request but the caller recorded ${ends.length}`,
                lines,
            });
        }
        let decidable = true;
        for (const { event, line } of ends) {
            if (event.outcome !== "completed") {
                continue;
            }
            if (event.digest === undefined || event.expected === undefined) {
                decidable = false;
            }
            else if (event.digest !== event.expected) {
                const message = `expected an answer with digest ${event.expected} but got ${event.digest}`;
                found.push({ request, message, lines: [line] });
            }
            found.push(...this.findEntryFaults(request, line));
        }
        findings.addCase("answers", found, decidable);
    }

    /** Reports a request that its caller saw complete, if all entries that served it recorded another outcome. */
    private findEntryFaults(request: string, line: LineReference): Finding[] {
        const ends = (this.index.byCallerRequest.get(request) ?? []).map(served =>
            this.index.requests.get(served)?.ended
        );
        const agrees = ends.some(end => end === undefined || end.event.outcome === "completed");
        if (ends.length === 0 || agrees) {
            return [];
        }
        const lines = ends.flatMap(end => end === undefined ? [] : [end.line]);
        return [{
            request,
            message: "the caller recorded the request as completed, but the entry did not",
            lines: [line, ...lines],
        }];
    }
}
