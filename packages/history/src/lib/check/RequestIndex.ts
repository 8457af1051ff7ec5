import { type HistoryLine } from "../HistoryEvent.js";
import { type LineReference, referenceTo } from "./Findings.js";
import { type Recordings } from "./Recordings.js";
import { addTo, type EventOf, getOrCreate, type Rule } from "./Rule.js";

/** What the entries recorded of one request. @internal */
export interface IndexedRequest {
    received?: EventOf<"request.received">;
    /** The line of the first event that an entry recorded. */
    entryLine?: HistoryLine;
    ended?: { readonly event: EventOf<"request.ended">; readonly line: LineReference; };
    /** Every target of every attempt. */
    readonly targets: Set<string>;
    /** The chain of each attempt, by epoch. */
    readonly chains: Map<number, readonly string[]>;
}

/**
 * Joins what several rules need to know of a request.
 *
 * @internal
 */
export class RequestIndex implements Rule {
    readonly requests = new Map<string, IndexedRequest>();
    /** Requests by what their caller set as `X-Request-Id`. */
    readonly byCaller = new Map<string, string[]>();
    /** Requests by idempotency key. */
    readonly byKey = new Map<string, string[]>();

    take(line: HistoryLine): void {
        const { body } = line;
        switch (body.event) {
            case "request.received":
                this.takeReceived(body, line);
                return;
            case "attempt.started":
                this.takeAttempt(body, line);
                return;
            case "request.ended":
                this.touch(body.request, line).ended ??= { event: body, line: referenceTo(line) };
                return;
            default:
        }
    }

    decide(): void {
        // The index only serves the rules.
    }

    /** Whether nothing that could show a fault of this request is lost. */
    isDecidable(request: string, recordings: Recordings): boolean {
        const indexed = this.requests.get(request);
        if (indexed?.entryLine === undefined) {
            return recordings.isEverythingWhole();
        }
        // What an entry recorded before the end of a request is there if the end is there.
        const entry = recordings.of(indexed.entryLine);
        const attemptsKnown = indexed.ended !== undefined || (entry !== undefined && recordings.isWhole(entry));
        return attemptsKnown && [...indexed.targets].every(target => recordings.isTargetWhole(target));
    }

    /** Whether the entry that served a request has a whole history. */
    isEntryWhole(request: string, recordings: Recordings): boolean {
        const line = this.requests.get(request)?.entryLine;
        const entry = line === undefined ? undefined : recordings.of(line);
        return entry !== undefined && recordings.isWhole(entry);
    }

    private takeReceived(body: EventOf<"request.received">, line: HistoryLine): void {
        this.touch(body.request, line).received = body;
        if (body.callerRequest !== undefined) {
            addTo(this.byCaller, body.callerRequest, body.request);
        }
        if (body.key !== undefined) {
            addTo(this.byKey, body.key, body.request);
        }
    }

    private takeAttempt(body: EventOf<"attempt.started">, line: HistoryLine): void {
        const request = this.touch(body.request, line);
        request.chains.set(body.epoch, body.targets);
        for (const target of body.targets) {
            request.targets.add(target);
        }
    }

    private touch(request: string, line: HistoryLine): IndexedRequest {
        const indexed = getOrCreate(this.requests, request, (): IndexedRequest => ({
            targets: new Set(),
            chains: new Map(),
        }));
        indexed.entryLine ??= line;
        return indexed;
    }
}
