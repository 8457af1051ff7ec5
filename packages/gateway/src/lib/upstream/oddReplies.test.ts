import assert from "node:assert/strict";
import { type AddressInfo } from "node:net";
import { test } from "node:test";
import { exchangeWith, listen } from "../testing/exchangeWith.js";
import { Exchange, type ExchangeFailure, type ReplyMessage } from "./Exchange.js";

// Guards against whole answers that are replaced by a failure, since a faulty target sent bytes after them.
test("a reply that is complete is delivered, whatever bytes follow it", async () => {
    const head = "HTTP/1.1 200 OK\r\n";
    for (
        const [reply, expected] of [
            [`${head}Content-Length: 5\r\n\r\nwhole`, "whole"],
            [`${head}Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`, "whole"],
            ["HTTP/1.1 204 No Content\r\n\r\n", ""],
            ["HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", ""],
        ]
    ) {
        for (
            const rest of [
                "further bytes",
                "\0",
                "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother",
                `${head}broken`,
            ]
        ) {
            const { body, failure } = await exchangeWith(socket => socket.end(`${reply}${rest}`));
            assert.deepEqual([body, failure], [expected, undefined], `${reply}${rest}`);
        }
    }
});

test("all lines of a reply's head are read, also the one that frames its body", async () => {
    const lines = Array.from({ length: 1_100 }, (_, index) => `X${index}: 1\r\n`).join("");
    const server = await listen(socket => socket.end(`HTTP/1.1 200 OK\r\n${lines}Content-Length: 5\r\n\r\nwhole`));
    const head = await new Promise<ReplyMessage>((resolve, reject) =>
        Exchange.open({
            host: "127.0.0.1",
            port: (server.address() as AddressInfo).port,
            method: "GET",
            path: "/",
            headers: ["Host", "x"],
            body: undefined,
            connectTimeout: 1_000,
            maySend: () => true,
            listener: { onHead: resolve, onData: () => undefined, onEnd: () => undefined, onFailure: reject },
        })
    );
    server.close();
    assert.equal(head.headers["content-length"], "5");
    assert.equal(head.rawHeaders.length, 2_202);
});

// Guards against requests that are answered at their deadline only.
test("a reply that switches protocols ends its exchange at once", async () => {
    for (const status of ["101 Switching Protocols", "200 OK"]) {
        const { failure } = await exchangeWith(socket =>
            socket.write(`HTTP/1.1 ${status}\r\nConnection: Upgrade\r\nUpgrade: x\r\nContent-Length: 9\r\n\r\nbytes`)
            && setTimeout(() => socket.destroy(), 50)
        );
        assert.equal(failure?.neverSent, false, status);
    }
});

// Guards against a body that is forwarded in a coding which its head no longer names.
test("a reply in another transfer coding than chunks is no answer", async () => {
    for (const coding of ["gzip", "chunked, gzip", "gzip, chunked", "identity"]) {
        const { failure } = await exchangeWith(socket =>
            socket.end(`HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\nbody`)
        );
        assert.equal(failure?.neverSent, false, coding);
    }
});

// Guards against a request that nobody answers, since one of its headers or its address cannot be written.
test("a request that cannot be written has failed unsent, once its opener has returned", async () => {
    const sound = { host: "127.0.0.1", port: 80, method: "GET", path: "/", headers: ["Host", "x"] };
    const odd = [{ headers: ["X", "a\r\nb"] }, { headers: ["a b", "1"] }, { port: 70_000 }, { path: "/a b" }, {
        method: "G T",
    }];
    for (const part of odd) {
        const failure = await new Promise<ExchangeFailure>(resolve => {
            let hasReturned = false;
            const { neverSent } = Exchange.open({
                ...sound,
                ...part,
                body: undefined,
                connectTimeout: 1_000,
                maySend: () => true,
                listener: {
                    onHead: () => undefined,
                    onData: () => undefined,
                    onEnd: () => undefined,
                    onFailure: failure => hasReturned && resolve(failure),
                },
            });
            hasReturned = neverSent;
        });
        assert.equal(failure.neverSent, true);
        assert.equal(failure.isWithdrawn, true, "the target is not blamed");
    }
});
