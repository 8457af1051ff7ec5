import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventSplitter } from "./EventSplitter.js";

/** Splits a whole stream by the definition: an event ends at the first blank line after a line of data. */
function splitWhole(stream: string): string[] {
    const events: string[] = [];
    let event = "";
    let hasData = false;
    for (const line of stream.match(/[^\n]*\n/g) ?? []) {
        event += line;
        const content = line.replace(/\r?\n$/, "");
        hasData ||= content === "data" || content.startsWith("data:");
        if (content === "" && hasData) {
            events.push(event);
            event = "";
            hasData = false;
        }
    }
    return events;
}

const pieces = fc.constantFrom(
    "\n",
    "\r",
    "\r\n",
    "data:",
    "data",
    "da",
    "ta:",
    "x",
    ": c",
    "id: 7",
    "\n\n",
    "data: y\n\n",
);

test("events end where they end in the whole stream, however it is split into chunks", () => {
    fc.assert(
        fc.property(fc.array(pieces, { maxLength: 40 }), fc.array(fc.integer({ min: 1, max: 7 })), (parts, sizes) => {
            const stream = parts.join("");
            const splitter = new EventSplitter();
            const events: string[] = [];
            let start = 0;
            for (const size of [...sizes, stream.length]) {
                const chunk = Buffer.from(stream.slice(start, start + size));
                events.push(...splitter.push(chunk).map(({ bytes }) => bytes.toString()));
                start += size;
            }
            assert.deepEqual(events, splitWhole(stream));
            const rest = stream.slice(events.join("").length);
            const lastLines = rest.split("\n").slice(-2);
            assert.equal(splitter.hasPartialEvent, lastLines.some(line => line.replace(/\r$/, "") !== ""));
            assert.equal(splitter.takeRest().toString(), rest);
        }),
        { numRuns: 2_000 },
    );
});

// Guards against a gateway that hangs on an event without an end, since each chunk has it searched from its start.
test("a byte of an event without an end is searched once, however many chunks follow it", t => {
    const indexOf = (bytes: Buffer, value: number, from: number) =>
        Uint8Array.prototype.indexOf.call(bytes, value, from);
    let searched = 0;
    t.mock.method(Buffer.prototype, "indexOf", function(this: Buffer, value: number, from = 0): number {
        const found = indexOf(this, value, from);
        searched += (found === -1 ? this.length : found + 1) - from;
        return found;
    });
    const splitter = new EventSplitter();
    const chunk = Buffer.alloc(1_000, "y\n");
    for (let chunks = 0; chunks < 200; chunks++) {
        splitter.push(chunk);
    }
    assert.equal(searched, 200_000);
});
