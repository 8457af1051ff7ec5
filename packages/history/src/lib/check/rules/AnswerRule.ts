import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference, referenceTo } from "../Findings.js";
import { keyOf, type Recordings } from "../Recordings.js";
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
 * A caller whose request completed has the whole answer to this request: the digest of what it received is the one it
 * expected, and the entry agrees that the request completed. Every caller sees its request end, once.
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
            this.sent.set(body.callerRequest, { line, recording: keyOf(line) });
        }
        else if (body.event === "caller.ended") {
            addTo(this.ended, body.callerRequest, { event: body, line: referenceTo(line) });
        }
    }

    decide(recordings: Recordings, findings: Findings): void {
        for (const [request, sent] of this.sent) {
            if (!this.ended.has(request)) {
                const caller = recordings.of(sent.line);
                const finding = { request, message: "the caller never saw an end", lines: [referenceTo(sent.line)] };
                const whole = caller !== undefined && recordings.isWhole(caller);
                findings.decide("answers", whole ? [finding] : [], false);
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
            found.push({ request, message: "the caller saw two ends", lines });
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
            found.push(...this.entryFaults(request, line));
        }
        findings.decide("answers", found, decidable);
    }

    /** The entries that served a caller's completed request, and ended it otherwise. */
    private entryFaults(request: string, line: LineReference): Finding[] {
        const ends = (this.index.byCaller.get(request) ?? []).map(served => this.index.requests.get(served)?.ended);
        const agrees = ends.some(end => end === undefined || end.event.outcome === "completed");
        if (ends.length === 0 || agrees) {
            return [];
        }
        const lines = ends.flatMap(end => end === undefined ? [] : [end.line]);
        return [{ request, message: "the caller saw a whole answer, the entry did not", lines: [line, ...lines] }];
    }
}
