import { type HistoryLine } from "../HistoryEvent.js";
import { type LineReference, referenceTo } from "./Findings.js";
import { type Recordings } from "./Recordings.js";
import { addTo, type EventOf, getOrCreate, type Rule } from "./Rule.js";

/** What the entries recorded about one request. @internal */
export interface IndexedRequest {
    received?: EventOf<"request.received">;
    /** The first line that an entry recorded for the request. */
    entryLine?: HistoryLine;
    ended?: { readonly event: EventOf<"request.ended">; readonly line: LineReference; };
    /** All targets of all attempts. */
    readonly targets: Set<string>;
    /** The chain of targets of each attempt, by epoch. */
    readonly chains: Map<number, readonly string[]>;
}

/**
 * Index of the requests, shared by several rules.
 *
 * @internal
 */
export class RequestIndex implements Rule {
    readonly requests = new Map<string, IndexedRequest>();
    /** Requests by the `X-Request-Id` header that the caller set. */
    readonly byCallerRequest = new Map<string, string[]>();
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
                this.getOrCreateRequest(body.request, line).ended ??= { event: body, line: referenceTo(line) };
                return;
            default:
        }
    }

    decide(): void {
        // The index has no rule of its own; the rules read it.
    }

    /** Whether no line that could show a violation for this request is lost. */
    isDecidable(request: string, recordings: Recordings): boolean {
        const indexed = this.requests.get(request);
        if (indexed?.entryLine === undefined) {
            return recordings.areAllComplete();
        }
        // A file loses only its last lines: if the end of the request is recorded, so is everything before it.
        const entry = recordings.get(indexed.entryLine);
        const attemptsKnown = indexed.ended !== undefined || (entry !== undefined && recordings.isComplete(entry));
        return attemptsKnown && [...indexed.targets].every(target => recordings.isTargetComplete(target));
    }

    /** Whether the history of the entry that served a request is complete. */
    isEntryComplete(request: string, recordings: Recordings): boolean {
        const line = this.requests.get(request)?.entryLine;
        const entry = line === undefined ? undefined : recordings.get(line);
        return entry !== undefined && recordings.isComplete(entry);
    }

    private takeReceived(body: EventOf<"request.received">, line: HistoryLine): void {
        this.getOrCreateRequest(body.request, line).received = body;
        if (body.callerRequest !== undefined) {
            addTo(this.byCallerRequest, body.callerRequest, body.request);
        }
        if (body.key !== undefined) {
            addTo(this.byKey, body.key, body.request);
        }
    }

    private takeAttempt(body: EventOf<"attempt.started">, line: HistoryLine): void {
        const request = this.getOrCreateRequest(body.request, line);
        request.chains.set(body.epoch, body.targets);
        for (const target of body.targets) {
            request.targets.add(target);
        }
    }

    private getOrCreateRequest(request: string, line: HistoryLine): IndexedRequest {
        const indexed = getOrCreate(this.requests, request, (): IndexedRequest => ({
            targets: new Set(),
            chains: new Map(),
        }));
        indexed.entryLine ??= line;
        return indexed;
    }
}
