import { type Failure, failure, requestCodes } from "@waxwingspar/utils";
import { type CallClaims, type CallItem, type CallRecord, type CallSink } from "./CallSink.js";
import { type CallStream } from "./CallStream.js";

/**
 * Appends the answer of a claimed call to its record, which forwards it to all streams that follow it. While the record
 * keeps the answer, the call does not wait for any stream. Once the answer is too large to be kept, the call proceeds
 * at the pace of the fastest stream, or runs to its end if there is none. A stream that falls too far behind then
 * fails, since the rest of the answer is not stored for it.
 *
 * @internal
 */
export class CallRecordSink implements CallSink {
    private readonly streams = new Set<CallStream>();
    private handler: () => void = () => undefined;

    /** @param memory - Bytes of the answer that are kept, and by which a slow stream may be behind a fast one. */
    constructor(
        private readonly claims: CallClaims,
        private readonly record: CallRecord,
        private readonly owner: CallStream,
        private readonly memory: number,
    ) {
        this.add(owner);
    }

    get queuedBytes(): number {
        return this.owner.queuedBytes;
    }

    get ready(): boolean {
        return !this.record.truncated || this.streams.size === 0 || this.isAnyReady();
    }

    onReady(handler: () => void): void {
        this.handler = handler;
    }

    /** Adds a stream that follows the record. */
    add(stream: CallStream): void {
        if (stream.closed) {
            return;
        }
        this.streams.add(stream);
        stream.onReady(() => {
            if (stream.closed) {
                this.streams.delete(stream);
            }
            this.handler();
        });
    }

    item(item: CallItem): void {
        const bytes = item.kind === "body" ? item.data.length : JSON.stringify(item.headers).length;
        if (this.record.bytes + bytes > this.memory) {
            this.record.truncate();
        }
        this.record.append(item, bytes);
        if (this.record.truncated && this.isAnyReady()) {
            this.failSlowStreams();
        }
    }

    end(): void {
        this.claims.ended(this.record, "whole");
    }

    failed(reason: Failure): void {
        if (reason.code.execution === "not run") {
            this.claims.refused(this.record, reason);
            return;
        }
        this.claims.interrupted(this.record, reason);
    }

    private isAnyReady(): boolean {
        return [...this.streams].some(stream => stream.ready);
    }

    private failSlowStreams(): void {
        // Twice the limit, since a stream may still hold the whole kept part when the record stops keeping the answer.
        const slowStreams = [...this.streams].filter(stream => stream.heldBytes > 2 * this.memory);
        const reason = failure(
            requestCodes.inProgress,
            "the call is running; its answer is too large to be kept for a slow caller",
        );
        slowStreams.forEach(stream => stream.failed(reason));
    }
}
