import { type Link, type LoadReport, type ReplyHeaders } from "@waxwingspar/transport";
import { type Failure } from "@waxwingspar/utils";
import { type ClaimFollower, type ClaimRecord } from "../claims/ClaimRecord.js";
import { type ClaimTable } from "../claims/ClaimTable.js";
import { toWire } from "../faults.js";

/** A part of a plain service's answer. @internal */
export type CallItem =
    | { readonly kind: "head"; readonly status: number; readonly headers: ReplyHeaders; }
    | { readonly kind: "body"; readonly data: Uint8Array<ArrayBuffer>; };

/** The end of a whole answer. @internal */
export type CallEnd = "whole";

/** The claims of plain calls. @internal */
export type CallClaims = ClaimTable<CallItem, CallEnd>;

/** @internal */
export type CallRecord = ClaimRecord<CallItem, CallEnd>;

/** Where the answer of one call goes. @internal */
export interface CallSink {
    /** Bytes that wait to be sent. */
    readonly queuedBytes: number;
    item(item: CallItem): void;
    end(): void;
    failed(reason: Failure): void;
}

/**
 * Sends the answer of a call to an entry. Nothing follows the end or a failure.
 *
 * @internal
 */
export class CallStream implements CallSink, ClaimFollower<CallItem, CallEnd> {
    private closed = false;

    constructor(
        private readonly link: Link,
        private readonly request: string,
        private readonly load: () => LoadReport,
        private readonly ended: () => void,
    ) {}

    get queuedBytes(): number {
        return this.closed || !this.link.open ? 0 : this.link.queuedBytes;
    }

    item(item: CallItem): void {
        if (this.closed) {
            return;
        }
        const { request } = this;
        if (item.kind === "head") {
            this.link.send({ type: "reply", request, status: item.status, headers: item.headers });
            return;
        }
        this.link.send({ type: "replyBody", request, data: item.data, last: false });
    }

    end(): void {
        this.finish(() => {
            const { request } = this;
            this.link.send({ type: "replyBody", request, data: new Uint8Array(0), last: true, load: this.load() });
        });
    }

    failed(reason: Failure): void {
        this.finish(() => {
            const { request } = this;
            this.link.send({ type: "callFailed", request, failure: toWire(reason), load: this.load() });
        });
    }

    /** Nobody listens any more. */
    drop(): void {
        this.finish(() => undefined);
    }

    private finish(send: () => void): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        send();
        this.ended();
    }
}

/**
 * Writes the answer of a claimed call into its record, from where it reaches everyone who asked.
 *
 * @internal
 */
export class CallRecordSink implements CallSink {
    constructor(
        private readonly claims: CallClaims,
        private readonly record: CallRecord,
        private readonly owner: CallStream,
        private readonly memory: number,
    ) {}

    get queuedBytes(): number {
        return this.owner.queuedBytes;
    }

    item(item: CallItem): void {
        const bytes = item.kind === "body" ? item.data.length : JSON.stringify(item.headers).length;
        if (this.record.bytes + bytes > this.memory) {
            this.record.truncate();
        }
        this.record.append(item, bytes);
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
}
