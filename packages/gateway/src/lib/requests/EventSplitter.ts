/** A whole event of a stream, with the bytes as they came. */
export interface StreamEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

const lineFeed = 0x0a;
const idLine = /^id: ?(.*)$/m;

/** Cuts a `text/event-stream` into whole events, so that a stream that breaks off in an event passes no part of it on. */
export class EventSplitter {
    private rest: Buffer = Buffer.alloc(0);

    /** True when bytes of an unfinished event are held back. */
    get hasPartialEvent(): boolean {
        return this.rest.length > 0;
    }

    /** Takes bytes as they come. @returns The events that they complete. */
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
