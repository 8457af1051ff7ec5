/** A complete event of a stream, with its original bytes. */
export interface StreamEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

const lineFeed = 0x0a;
const idLine = /^id: ?(.*)$/m;

/** Splits a `text/event-stream` into complete events, so that an event which was cut short is not forwarded. */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** True while bytes of an incomplete event are buffered. */
    get hasPartialEvent(): boolean {
        return this.rest.length > 0;
    }

    /** Adds received bytes. @returns The events that they complete. */
    push(chunk: Buffer): StreamEvent[] {
        const data = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(data, start); end !== -1; end = findEventEnd(data, start)) {
            const bytes = data.subarray(start, end);
            events.push({ bytes, id: idLine.exec(bytes.toString("latin1"))?.[1]?.trimEnd() });
            start = end;
        }
        this.rest = data.subarray(start);
        return events;
    }
}

/** @returns The position after the blank line that ends an event, or -1. */
function findEventEnd(data: Buffer, start: number): number {
    for (let at = data.indexOf(lineFeed, start); at !== -1; at = data.indexOf(lineFeed, at + 1)) {
        const next = data[at + 1] === 0x0d ? at + 2 : at + 1;
        if (data[next] === lineFeed) {
            return next + 1;
        }
    }
    return -1;
}
