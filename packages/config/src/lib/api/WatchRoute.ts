import { failure, requestCodes, resourceCodes } from "@waxwingspar/utils";
import { type ServerResponse } from "node:http";
import { Result } from "true-myth";
import { type LogEntry } from "../revisions/LogEntry.js";
import { hideSecrets } from "../store/diffFields.js";
import { type ApiContext, type ApiRequest, type RouteOutcome } from "./ApiContext.js";

/** Milliseconds between two bookmarks on a watch without changes. */
const bookmarkInterval = 10_000;
/** Bytes that may be buffered for a slow client before its watch is ended. */
const maxBufferedBytes = 4 * 1024 * 1024;

/**
 * `GET watch?revision=R`: streams all changes after a revision as lines of JSON until either side closes the
 * connection.
 *
 * @internal
 */
export class WatchRoute {
    private readonly open = new Set<ServerResponse>();
    private isClosed = false;

    constructor(
        private readonly context: ApiContext,
        /** Checks whether the operator is still allowed to watch. */
        private readonly isAllowed: (request: ApiRequest) => boolean,
    ) {}

    watch(request: ApiRequest): RouteOutcome {
        if (this.isClosed) {
            return Result.err([failure(requestCodes.stopping, "this process is stopping")]);
        }
        const { state } = this.context.node;
        const from = request.query.get("revision");
        const revision = from === null ? state.revision : Number(from);
        if (!Number.isSafeInteger(revision) || revision < 0) {
            return Result.err([
                failure(requestCodes.malformed, "revision must be a non-negative integer", { path: "revision" }),
            ]);
        }
        if (state.since(revision) === undefined) {
            return Result.err([
                failure(
                    resourceCodes.revisionGone,
                    `the log starts after revision ${state.oldest}, but the watch starts after ${revision}`,
                ),
            ]);
        }
        this.follow(request, revision);
        return Result.ok(undefined);
    }

    /** Ends all watches, and refuses further ones. */
    close(): void {
        this.isClosed = true;
        this.open.forEach(response => response.end());
    }

    private follow(request: ApiRequest, start: number): void {
        const { response, query } = request;
        const { state } = this.context.node;
        const kind = query.get("kind");
        let revision = start;
        response.writeHead(200, { "content-type": "application/x-ndjson", "cache-control": "no-store" });
        const send = (): void => {
            const entries = state.since(revision);
            if (entries === undefined || !this.isAllowed(request) || response.writableLength > maxBufferedBytes) {
                endWatch(response, entries === undefined);
                return;
            }
            const lines = entries.flatMap(describeEntry).filter(line => kind === null || line.kind === kind);
            revision = Math.max(revision, state.revision);
            response.write(
                [...lines, { type: "bookmark", revision }].map(line => JSON.stringify(line) + "\n").join(""),
            );
        };
        this.track(response, state.onChange(send), send);
        send();
    }

    private track(response: ServerResponse, stopListening: () => void, send: () => void): void {
        const { clock } = this.context;
        const repeat = (): void => {
            send();
            timer = clock.schedule(repeat, bookmarkInterval);
        };
        let timer = clock.schedule(repeat, bookmarkInterval);
        this.open.add(response);
        response.once("close", () => {
            timer.cancel();
            stopListening();
            this.open.delete(response);
        });
    }
}

function describeEntry({ revision, changes }: LogEntry) {
    return changes.map(({ kind, name, spec }) => (
        spec === undefined
            ? { type: "removed", revision, kind, name }
            : { type: "set", revision, kind, name, resourceVersion: revision, spec: hideSecrets(spec) }
    ));
}

function endWatch(response: ServerResponse, gone: boolean): void {
    const { number, name, summary } = resourceCodes.revisionGone;
    response.end(gone ? JSON.stringify({ type: "error", code: number, name, message: summary }) + "\n" : undefined);
}
