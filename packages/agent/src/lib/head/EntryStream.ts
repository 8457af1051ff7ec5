import { type Link, type LoadReport } from "@waxwingspar/transport";
import { type ChainFault, toWire } from "../faults.js";
import { type AnswerEnd, type AnswerSink } from "./AnswerSink.js";
import { type AnswerToken } from "./StopMatcher.js";

/** @internal */
export interface EntryStreamOptions {
    readonly link: Link;
    readonly request: string;
    readonly epoch: number;
    /** The position in the answer of the first token to send. */
    readonly position: number;
    /** The credit: tokens before this position in the answer may be sent. */
    readonly upTo: number;
    readonly load: () => LoadReport;
    /** Called when a grant of credit allows further tokens. */
    readonly drained: () => void;
    /** Called once, when the last message has been sent or the stream was dropped. */
    readonly closed: () => void;
}

/**
 * Streams one answer to an entry. Tokens that arrive in the same microtask run are sent in one message, and never more
 * tokens than the entry's credit allows.
 *
 * @internal
 */
export class EntryStream implements AnswerSink {
    private ids: number[] = [];
    private texts: string[] = [];
    private position: number;
    private upTo: number;
    private end: AnswerEnd | undefined;
    private isFlushScheduled = false;
    private isClosed = false;

    constructor(private readonly options: EntryStreamOptions) {
        this.position = options.position;
        this.upTo = options.upTo;
    }

    /** True once the last message has been sent or the stream was dropped. */
    get closed(): boolean {
        return this.isClosed;
    }

    get ready(): boolean {
        return this.position + this.ids.length < this.upTo;
    }

    token({ id, text }: AnswerToken): void {
        this.ids.push(id);
        this.texts.push(text);
        if (!this.isFlushScheduled) {
            this.isFlushScheduled = true;
            queueMicrotask(() => this.flush());
        }
    }

    /** Applies a grant of credit. Grants may arrive late or out of order; the highest counts. */
    credit(upTo: number): void {
        if (upTo <= this.upTo || this.isClosed) {
            return;
        }
        this.upTo = upTo;
        this.flush();
        if (!this.isClosed && this.ready) {
            this.options.drained();
        }
    }

    done(end: AnswerEnd): void {
        this.end = end;
        this.flush();
    }

    failed({ failure, target, exportable }: ChainFault): void {
        if (this.isClosed) {
            return;
        }
        this.flush();
        const { link, request, epoch, load } = this.options;
        link.send({ type: "failed", request, epoch, failure: toWire(failure), target, exportable, load: load() });
        this.close();
    }

    /** Closes the stream without a final message, because the entry no longer expects one. */
    drop(): void {
        if (!this.isClosed) {
            this.close();
        }
    }

    private flush(): void {
        this.isFlushScheduled = false;
        if (this.isClosed) {
            return;
        }
        const count = Math.min(this.ids.length, this.upTo - this.position);
        if (count > 0) {
            this.send(count);
        }
        if (this.end !== undefined && this.ids.length === 0) {
            const { link, request, epoch, load } = this.options;
            link.send({ type: "done", request, epoch, ...this.end, load: load() });
            this.close();
        }
    }

    private send(count: number): void {
        const { link, request, epoch } = this.options;
        const ids = count === this.ids.length ? this.ids : this.ids.slice(0, count);
        const texts = count === this.texts.length ? this.texts : this.texts.slice(0, count);
        link.send({ type: "tokens", request, epoch, position: this.position, ids, texts });
        this.position += count;
        this.ids = this.ids.slice(count);
        this.texts = this.texts.slice(count);
    }

    private close(): void {
        this.isClosed = true;
        this.ids = [];
        this.texts = [];
        this.options.closed();
    }
}
