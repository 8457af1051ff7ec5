import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { once } from "node:events";
import { connect } from "node:net";
import { after, before, test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { GatewayUnderTest } from "./GatewayUnderTest.js";
import { head, largestBody } from "./scripts.js";

const root = fileURLToPath(new URL("../../../../", import.meta.url));
const timeout = 120_000;
/** Four fifths of the idle timeout of the test configuration, in milliseconds. */
const longestIdle = 12_000;
const gateway = new GatewayUnderTest({ routeTimeout: 60_000 });

before(async () => {
    execFileSync(process.execPath, ["scripts/bundle.mjs"], { cwd: root });
    await gateway.start();
});

after(() => gateway.stop());

/** Sends pieces on one connection, each after the client has sent the one before. @returns The statuses of the answers. */
async function send(pieces: readonly (string | Buffer | number)[], answers = 1): Promise<string[]> {
    const socket = connect(gateway.callerPort, "127.0.0.1");
    let received = "";
    const isComplete = () => received.match(/^HTTP\/1.1 /gm)?.length === answers && received.endsWith("\r\n\r\n");
    const done = new Promise<void>(resolve => {
        socket.on("data", data => {
            received += data.toString("latin1");
            if (isComplete()) {
                resolve();
            }
        });
        socket.once("close", () => resolve());
    });
    for (const piece of pieces) {
        if (typeof piece === "number") {
            await pause(piece);
        }
        else if (!socket.write(piece)) {
            await Promise.race([once(socket, "drain"), done]);
        }
    }
    await done;
    socket.destroy();
    return [...received.matchAll(/^HTTP\/1.1 (\d+)/gm)].map(([, status = ""]) => status);
}

const lengthOf = (bytes: number) => [`Content-Length: ${bytes}`];
const chunked = ["Transfer-Encoding: chunked"];

test("a client inside the limits is served: largest body, with a length and in large chunks", { timeout }, async () => {
    const body = Buffer.alloc(largestBody, "x");
    assert.deepEqual(await send([head({ path: "/get/a", headers: lengthOf(largestBody) }), body]), ["200"]);
    const chunk = Buffer.concat([Buffer.from("10000\r\n"), Buffer.alloc(65_536, "x"), Buffer.from("\r\n")]);
    const chunks = Array.from({ length: largestBody / 65_536 }, () => chunk);
    assert.deepEqual(await send([head({ path: "/get/b", headers: chunked }), ...chunks, "0\r\n\r\n"]), ["200"]);
});

test("a client inside the limits is served: largest body in chunks of one byte", { timeout }, async () => {
    const block = Buffer.from("1\r\nx\r\n".repeat(65_536));
    const blocks = Array.from({ length: largestBody / 65_536 }, () => block);
    assert.deepEqual(await send([head({ path: "/get/a", headers: chunked }), ...blocks, "0\r\n\r\n"]), ["200"]);
});

test("a client inside the limits is served: a body over some seconds, after 100 Continue", { timeout }, async () => {
    const headers = [...lengthOf(6), "Expect: 100-continue"];
    const pieces = ["x", "x", "x", "x", "x", "x"].flatMap(piece => [1_000, piece]);
    assert.deepEqual(await send([head({ path: "/get/a", headers }), ...pieces], 2), ["100", "200"]);
});

test("a client inside the limits is served: largest head", { timeout }, async () => {
    const filler = `X-Filler: ${"x".repeat(15_800)}`;
    assert.deepEqual(await send([head({ path: "/get/a", method: "GET", headers: [filler] })]), ["200"]);
});

test("a client inside the limits is served: requests ahead whose answers are read", { timeout }, async () => {
    const request = head({ path: "/get/a", method: "GET" });
    assert.deepEqual(await send([request.repeat(60)], 60), Array.from({ length: 60 }, () => "200"));
});

test("a client inside the limits is served: a connection that was idle", { timeout }, async () => {
    const request = head({ path: "/get/a", method: "GET" });
    assert.deepEqual(await send([request, longestIdle, request], 2), ["200", "200"]);
});
