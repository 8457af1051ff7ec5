import { type Link, type LoadReport } from "@waxwingspar/transport";
import { type Failure } from "@waxwingspar/utils";
import { type ClaimFollower } from "../claims/ClaimRecord.js";
import { toWire } from "../faults.js";
import { type CallEnd, type CallItem, type CallSink } from "./CallSink.js";

/** @internal */
export interface CallStreamOptions {
    readonly link: Link;
    readonly request: string;
    /** Bytes of the body that may be sent before more is granted. Undefined for an entry without flow control. */
    readonly credit: number | undefined;
    readonly load: () => LoadReport;
    /** Called once, when the last message has been sent or the stream was dropped. */
    readonly ended: () => void;
}

/**
 * Sends the answer of a call to an entry. The body is sent only up to the credit that the entry has granted; the rest
 * is buffered. Nothing is sent after the end or a failure.
 *
 * @internal
 */
export class CallStream implements CallSink, ClaimFollower<CallItem, CallEnd> {
    private isClosed = false;
    private whole = false;
    private upTo: number;
    private sent = 0;
    private held: Uint8Array<ArrayBuffer>[] = [];
    private bytes = 0;
    private readonly readyHandlers: (() => void)[] = [];

    constructor(private readonly options: CallStreamOptions) {
        this.upTo = options.credit ?? Infinity;
    }

    /** True once the last message has been sent or the stream was dropped. */
    get closed(): boolean {
        return this.isClosed;
    }

    get queuedBytes(): number {
        const { link } = this.options;
        return this.isClosed || !link.open ? 0 : link.queuedBytes;
    }

    /** Bytes of the body that wait for credit. */
    get heldBytes(): number {
        return this.bytes;
    }

    get ready(): boolean {
        return this.bytes === 0;
    }

    onReady(handler: () => void): void {
        this.readyHandlers.push(handler);
    }

    item(item: CallItem): void {
        if (this.isClosed) {
            return;
        }
        if (item.kind === "head") {
            const { link, request, credit } = this.options;
            const credited = credit === undefined ? undefined : true;
            link.send({ type: "reply", request, status: item.status, headers: item.headers, credited });
            return;
        }
        this.held.push(item.data);
        this.bytes += item.data.length;
        this.flush();
    }

    /** Raises the credit to `upTo` bytes. Grants may arrive late or out of order, so the highest one counts. */
    credit(upTo: number): void {
        if (this.isClosed || upTo <= this.upTo) {
            return;
        }
        this.upTo = upTo;
        this.flush();
        this.notify();
    }

    end(): void {
        this.whole = true;
        this.flush();
    }

    failed(reason: Failure): void {
        this.finish(() => {
            const { link, request, load } = this.options;
            link.send({ type: "callFailed", request, failure: toWire(reason), load: load() });
        });
    }

    /** Closes the stream without sending anything, as the caller no longer needs the answer. */
    drop(): void {
        this.finish(() => undefined);
    }

    private flush(): void {
        let next = this.held[0];
        while (next !== undefined && this.sent < this.upTo) {
            this.sendPart(next);
            next = this.held[0];
        }
        if (this.whole && this.held.length === 0) {
            this.finish(() => {
                const { link, request, load } = this.options;
                link.send({ type: "replyBody", request, data: new Uint8Array(0), last: true, load: load() });
            });
        }
    }

    /** Sends as much of the first buffered piece as the credit allows. */
    private sendPart(piece: Uint8Array<ArrayBuffer>): void {
        const { link, request } = this.options;
        const data = piece.subarray(0, this.upTo - this.sent);
        this.sent += data.length;
        this.bytes -= data.length;
        if (data.length === piece.length) {
            this.held.shift();
        }
        else {
            this.held[0] = piece.subarray(data.length);
        }
        link.send({ type: "replyBody", request, data, last: false });
    }

    private finish(send: () => void): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.held = [];
        this.bytes = 0;
        send();
        this.options.ended();
        this.notify();
    }

    private notify(): void {
        this.readyHandlers.forEach(handler => handler());
    }
}
