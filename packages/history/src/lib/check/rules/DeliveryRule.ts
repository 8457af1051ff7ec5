import { type HistoryLine } from "../../HistoryEvent.js";
import { type Finding, type Findings, type LineReference, referenceTo } from "../Findings.js";
import { keyOf, type Recordings } from "../Recordings.js";
import { type RequestIndex } from "../RequestIndex.js";
import { type EventOf, getOrCreate, type Rule } from "../Rule.js";

interface Stream {
    /** Names the incarnation of the entry that delivers. */
    readonly recording: string;
    /** The answer position that comes next. */
    next: number;
    epoch: number;
    last: LineReference;
    ended: LineReference | undefined;
    readonly faults: Finding[];
}

/**
 * The tokens of an answer reach the caller once each, without a gap, never from an attempt older than one that has
 * delivered already, and never behind the end of the request; and every request ends.
 *
 * @internal
 */
export class DeliveryRule implements Rule {
    private readonly streams = new Map<string, Stream>();

    constructor(private readonly index: RequestIndex) {}

    take(line: HistoryLine): void {
        const { body } = line;
        switch (body.event) {
            case "request.received":
                this.streamOf(body.request, line);
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
            const whole = this.index.isEntryWhole(request, recordings);
            if (stream.ended === undefined && whole) {
                fault(stream, request, "the request never ended", [stream.last]);
            }
            findings.decide("delivery", stream.faults, stream.ended !== undefined || whole);
        }
    }

    private takeTokens(body: EventOf<"tokens.sent">, line: HistoryLine): void {
        const stream = this.streamOf(body.request, line);
        const lines = [stream.last, referenceTo(line)];
        if (stream.recording !== keyOf(line)) {
            fault(stream, body.request, "two processes delivered tokens", lines);
        }
        if (stream.ended !== undefined) {
            fault(stream, body.request, "tokens were delivered behind the end", [stream.ended, referenceTo(line)]);
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
        const stream = this.streamOf(body.request, line);
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

    private streamOf(request: string, line: HistoryLine): Stream {
        return getOrCreate(this.streams, request, () => ({
            recording: keyOf(line),
            next: 0,
            epoch: 0,
            last: referenceTo(line),
            ended: undefined,
            faults: [],
        }));
    }
}

function fault(stream: Stream, request: string, message: string, lines: readonly LineReference[]): void {
    stream.faults.push({ request, message, lines });
}
