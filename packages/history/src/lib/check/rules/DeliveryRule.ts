import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference, referenceTo } from "../Findings.js";
import { getIncarnationKey, type Recordings } from "../Recordings.js";
import { type RequestIndex } from "../RequestIndex.js";
import { type EventOf, getOrCreate, type Rule } from "../Rule.js";

interface AnswerStream {
    /** Key of the incarnation of the entry that delivers the answer. */
    readonly recording: string;
    /** The next answer position to deliver. */
    next: number;
    epoch: number;
    last: LineReference;
    ended: LineReference | undefined;
    readonly faults: Finding[];
}

/**
 * Each token of an answer is delivered exactly once, without a gap, never after the end of the request and never by an
 * attempt older than one that has already delivered tokens. Every request ends.
 *
 * @internal
 */
export class DeliveryRule implements Rule {
    private readonly streams = new Map<string, AnswerStream>();

    constructor(private readonly index: RequestIndex) {}

    take(line: HistoryLine): void {
        const { body } = line;
        switch (body.event) {
            case "request.received":
                this.getStream(body.request, line);
                return;
            case "tokens.sent":
                this.takeTokens(body, line);
                return;
            case "request.ended":
                this.takeEnd(body, line);
                return;
            default:
        }
    }

    decide(recordings: Recordings, findings: Findings): void {
        for (const [request, stream] of this.streams) {
            const whole = this.index.isEntryComplete(request, recordings);
            if (stream.ended === undefined && whole) {
                fault(stream, request, "the request never ended", [stream.last]);
            }
            findings.addCase("delivery", stream.faults, stream.ended !== undefined || whole);
        }
    }

    private takeTokens(body: EventOf<"tokens.sent">, line: HistoryLine): void {
        const stream = this.getStream(body.request, line);
        const lines = [stream.last, referenceTo(line)];
        if (stream.recording !== getIncarnationKey(line)) {
            fault(stream, body.request, "two processes delivered tokens", lines);
        }
        if (stream.ended !== undefined) {
            fault(stream, body.request, "tokens were delivered after the end of the request", [
                stream.ended,
                referenceTo(line),
            ]);
        }
        if (body.epoch < stream.epoch) {
            fault(stream, body.request, `epoch ${body.epoch} delivered after epoch ${stream.epoch}`, lines);
        }
        if (body.position !== stream.next) {
            const message = `expected answer position ${stream.next} but position ${body.position} was delivered`;
            fault(stream, body.request, message, lines);
        }
        stream.next = Math.max(stream.next, body.position + body.ids.length);
        stream.epoch = Math.max(stream.epoch, body.epoch);
        stream.last = referenceTo(line);
    }

    private takeEnd(body: EventOf<"request.ended">, line: HistoryLine): void {
        const stream = this.getStream(body.request, line);
        const lines = [stream.last, referenceTo(line)];
        if (stream.ended !== undefined) {
            fault(stream, body.request, "the request ended twice", [stream.ended, referenceTo(line)]);
        }
        if (body.outcome === "completed" && body.tokens !== undefined && body.tokens !== stream.next) {
            fault(stream, body.request, `${stream.next} of ${body.tokens} tokens were delivered`, lines);
        }
        if (body.outcome === "not run" && stream.next > 0) {
            fault(stream, body.request, "a request that was not run delivered tokens", lines);
        }
        stream.ended ??= referenceTo(line);
    }

    private getStream(request: string, line: HistoryLine): AnswerStream {
        return getOrCreate(this.streams, request, () => ({
            recording: getIncarnationKey(line),
            next: 0,
            epoch: 0,
            last: referenceTo(line),
            ended: undefined,
            faults: [],
        }));
    }
}

function fault(stream: AnswerStream, request: string, message: string, lines: readonly LineReference[]): void {
    stream.faults.push({ request, message, lines });
}
