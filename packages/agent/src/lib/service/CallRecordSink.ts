import { type Failure, failure, requestCodes } from "@waxwingspar/utils";
import { type CallClaims, type CallItem, type CallRecord, type CallSink } from "./CallSink.js";
import { type CallStream } from "./CallStream.js";

/**
 * Writes the answer of a claimed call into its record, from where it reaches everyone who asked. While the record keeps
 * the answer, the call does not wait for anyone. Beyond that it goes as fast as the fastest of those who listen, and to
 * its end when nobody does. Whoever falls too far behind another is cut off, since the rest is kept nowhere.
 *
 * @internal
 */
export class CallRecordSink implements CallSink {
    private readonly streams = new Set<CallStream>();
    private handler: () => void = () => undefined;

    /** @param memory - Bytes of the answer that are kept, and for which a slow listener may be behind a fast one. */
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
        return !this.record.truncated || this.streams.size === 0 || this.someReady();
    }

    onReady(handler: () => void): void {
        this.handler = handler;
    }

    /** Takes note of a stream that follows the record. */
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
        if (this.record.truncated && this.someReady()) {
            this.cutOffLaggards();
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

    private someReady(): boolean {
        return [...this.streams].some(stream => stream.ready);
    }

    private cutOffLaggards(): void {
        // Twice, since a stream may hold the whole kept part at the moment from which on nothing is kept.
        const laggards = [...this.streams].filter(stream => stream.heldBytes > 2 * this.memory);
        const reason = failure(requestCodes.inProgress, "it runs; its answer is too large to wait for a slow caller");
        laggards.forEach(stream => stream.failed(reason));
    }
}
