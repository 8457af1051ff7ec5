import { ByteAccumulator } from "@waxwingspar/utils";
import { BlockScanner } from "./BlockScanner.js";

/** A complete event of a stream, with its original bytes and those of blocks without data before it. */
export interface StreamEvent {
    readonly bytes: Buffer;
    readonly id: string | undefined;
}

const idField = "id:";

/** Splits a `text/event-stream` into complete events, so that an event which was cut short is not forwarded. */
export class EventSplitter {
    private readonly scanner = new BlockScanner();
    private readonly held = new ByteAccumulator();

    /** True while an event, or a block without data, is incomplete. */
    get hasPartialEvent(): boolean {
        return this.scanner.isInBlock;
    }

    /** Number of buffered bytes, which belong to no complete event. */
    get heldBytes(): number {
        return this.held.length;
    }

    /** Adds received bytes. @returns The events that they complete. */
    push(chunk: Buffer): StreamEvent[] {
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = this.scanner.scan(chunk, 0); end !== -1; end = this.scanner.scan(chunk, end)) {
            this.held.add(chunk.subarray(start, end));
            const bytes = this.held.take();
            events.push({ bytes, id: readId(bytes) });
            start = end;
        }
        this.held.add(chunk.subarray(start));
        return events;
    }

    /** Removes and returns the buffered bytes: at the end of a stream, blocks without data that no event follows. */
    takeRest(): Buffer {
        return this.held.take();
    }
}

/** Joins the bytes of events, without a copy if there is only one. */
export function joinEvents(events: readonly StreamEvent[]): Buffer {
    const [first, ...others] = events;
    return first !== undefined && others.length === 0 ? first.bytes : Buffer.concat(events.map(({ bytes }) => bytes));
}

/** @returns The last id in an event's bytes, which is its own: earlier ones are those of blocks without data. */
function readId(bytes: Buffer): string | undefined {
    const text = bytes.toString("latin1");
    const lineStart = text.lastIndexOf(`\n${idField}`) + 1;
    if (!text.startsWith(idField, lineStart)) {
        return undefined;
    }
    return text.slice(lineStart + idField.length, text.indexOf("\n", lineStart)).trim();
}
