import assert from "node:assert/strict";
import { test } from "node:test";
import { listCutReplies } from "../testing/cutReplies.js";
import { ReplyFraming } from "./ReplyFraming.js";

function countReplies(pieces: readonly string[], isOrderly = true): [number, number] {
    const framing = new ReplyFraming();
    for (const piece of pieces) {
        framing.receive(Buffer.from(piece, "latin1"));
    }
    if (isOrderly) {
        framing.receiveEnd();
    }
    return [framing.heads, framing.wholes];
}

// Guards against a cut reply that counts, whatever the sizes of the pieces in which it came.
test("a reply counts once its bytes are complete, in pieces of any size", () => {
    for (const { sent, stop, hasHead, isWhole } of listCutReplies()) {
        const text = sent.toString("latin1");
        for (const pieces of [[text], text.split(""), text.split(/(?<=\n)/), text.match(/[^]{1,7}/g) ?? []]) {
            assert.deepEqual(countReplies(pieces, stop !== "reset"), [Number(hasHead), Number(isWhole)], text);
        }
    }
});

test("replies in a row are counted, and bytes after the last one are none", () => {
    const replies = [
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
        "\r\nHTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n",
    ];
    assert.deepEqual(countReplies([...replies, ...replies, "junk"]), [4, 4]);
});

test("a reply whose framing is ambiguous or malformed is never whole", () => {
    for (
        const rest of [
            "Content-Length: 2\r\nContent-Length: 3\r\n\r\n{} ",
            "Content-Length: 2, 2\r\n\r\n{}",
            "Content-Length:\r\n 2\r\n\r\n{}",
            "Content-Length: +2\r\n\r\n{}",
            "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n2\r\n{}0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n\r\n0\r\n\r\n",
            "Transfer-Encoding: chunked\r\n\r\n-2\r\n{}\r\n0\r\n\r\n",
            `Transfer-Encoding: chunked\r\n\r\n${"f".repeat(17)}\r\n0\r\n\r\n`,
        ]
    ) {
        assert.deepEqual(countReplies([`HTTP/1.1 200 OK\r\n${rest}`]), [1, 0], rest);
    }
    for (const first of ["200 OK\r\n\r\n", "HTTP/1.1 OK\r\n\r\n", "HTTP/1.1 101 Switching\r\n\r\n"]) {
        assert.deepEqual(countReplies([first]), [0, 0], first);
    }
});
