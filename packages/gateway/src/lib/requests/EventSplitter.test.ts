import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EventSplitter } from "./EventSplitter.js";

test("events are returned whole, however the stream is split into chunks", () => {
    const stream = Array.from({ length: 20 }, (_, id) => `id: ${id}\ndata: ${"x".repeat(id)}\n\n`).join("");
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 40 })), sizes => {
        const splitter = new EventSplitter();
        const events = [];
        let start = 0;
        for (const size of [...sizes, stream.length]) {
            events.push(...splitter.push(Buffer.from(stream.slice(start, start + size))));
            start = Math.min(stream.length, start + size);
        }
        assert.equal(Buffer.concat(events.map(({ bytes }) => bytes)).toString(), stream);
        assert.deepEqual(events.map(({ id }) => id), Array.from({ length: 20 }, (_, id) => `${id}`));
        assert.equal(splitter.hasPartialEvent, false);
    }));
});

test("an incomplete event is buffered", () => {
    const splitter = new EventSplitter();
    assert.deepEqual(splitter.push(Buffer.from("id: 1\ndata: half")), []);
    assert.equal(splitter.hasPartialEvent, true);
});

test("lines may end with a carriage return and a line feed", () => {
    const [event] = new EventSplitter().push(Buffer.from("id: 7\r\ndata: a\r\n\r\n"));
    assert.equal(event?.id, "7");
});

test("an event without an id has none", () => {
    const [event] = new EventSplitter().push(Buffer.from("data: a\n\n"));
    assert.equal(event?.id, undefined);
});

test("blocks without data are returned with the event that follows them, under its id", () => {
    const splitter = new EventSplitter();
    assert.deepEqual(splitter.push(Buffer.from("\n: wait\n\nid: 8\n\n")), []);
    assert.equal(splitter.hasPartialEvent, false);
    const [event, ...others] = splitter.push(Buffer.from("id: 9\ndata: a\n\n: end\n\n"));
    assert.equal(event?.bytes.toString(), "\n: wait\n\nid: 8\n\nid: 9\ndata: a\n\n");
    assert.equal(event?.id, "9");
    assert.deepEqual(others, []);
    assert.equal(splitter.takeRest().toString(), ": end\n\n");
});
