import { seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplyReader } from "./ReplyReader.js";

const texts = [
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nid: 0\r\n\r\n\r\n1\r\n0\r\n2\r\n\r\n\r\n0\r\n\r\n",
];
const bodies = ["whole", "", "id: 0\r\n\r\n0\r\n"];

test("replies are the same in whatever pieces they come", () => {
    const random = seededRandom(1);
    for (let round = 0; round < 200; round++) {
        const order = Array.from({ length: 1 + random.below(5) }, () => random.below(texts.length));
        const bytes = Buffer.from(order.map(index => texts[index]).join(""));
        const reader = new ReplyReader();
        const replies = [];
        for (let at = 0; at < bytes.length;) {
            const length = 1 + random.below(20);
            replies.push(...reader.add(bytes.subarray(at, at + length)));
            at += length;
        }
        assert.deepEqual(replies.map(({ body }) => body), order.map(index => bodies[index]));
        assert.ok(replies.every(({ isComplete }) => isComplete));
        assert.equal(reader.end(), undefined);
    }
});

test("a reply in which the connection ends is not complete, unless it has no length", () => {
    for (const text of [texts[0]!, texts[2]!]) {
        for (let length = text.indexOf("\r\n\r\n") + 4; length < text.length; length++) {
            const reader = new ReplyReader();
            assert.deepEqual(reader.add(Buffer.from(text.slice(0, length))), []);
            assert.equal(reader.end()?.isComplete, false);
        }
    }
    const reader = new ReplyReader();
    reader.add(Buffer.from("HTTP/1.1 200 OK\r\n\r\npart"));
    const { body, isComplete } = reader.end() ?? {};
    assert.deepEqual({ body, isComplete }, { body: "part", isComplete: true });
});
