import {
    type CallerReply,
    callGateway,
    floodBytes,
    floodInterim,
    serve,
    type TargetBehaviour,
} from "@waxwingspar/platform/testing";
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { before, test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import { Crowd } from "./Crowd.js";
import { GatewayUnderTest, smallestMachine } from "./GatewayUnderTest.js";
import { head } from "./scripts.js";

const root = fileURLToPath(new URL("../../../../", import.meta.url));
const timeout = 180_000;
const chunk = `400\r\n${"x".repeat(1_024)}\r\n`;
const json = "[".repeat(1_024);

/** Replies that go on until the gateway closes their connection, by the last part of the path that they answer. */
const floods: Readonly<Record<string, TargetBehaviour>> = {
    name: floodBytes(["X"], "x"),
    value: floodBytes(["X: "], "x"),
    lines: floodBytes([""], "X: 1\r\n"),
    interim: floodInterim,
    unframed: floodBytes(["", ""], json),
    length: floodBytes(["Content-Length: 900000000000000", "", ""], json),
    chunks: floodBytes(["Transfer-Encoding: chunked", "", ""], chunk),
    smallChunks: floodBytes(["Transfer-Encoding: chunked", "", ""], "1\r\nx\r\n"),
    extension: floodBytes(["Transfer-Encoding: chunked", "", "1;"], "x"),
    trailers: floodBytes(["Transfer-Encoding: chunked", "", "0", ""], "X: 1\r\n"),
    event: floodBytes(["Content-Type: text/event-stream", "", "id: 0"], "data: x\n"),
    comments: floodBytes(["Content-Type: text/event-stream", "", ""], ": x\n\n"),
};

const behaviour: TargetBehaviour = (seen, response, target) =>
    (floods[seen.path.split("/").at(-1) ?? ""] ?? serve)(seen, response, target);

before(() => {
    execFileSync(process.execPath, ["scripts/bundle.mjs"], { cwd: root });
});

/** Plays callers that read what they get, beside some that do not, until each one has been answered or cut off. */
async function bear(context: TestContext, floodsReports: boolean): Promise<void> {
    const gateway = new GatewayUnderTest({ behaviour, streamBehaviour: behaviour, floodsReports });
    context.after(() => gateway.stop());
    await gateway.start();
    const names = Object.keys(floods);
    const silent = names.map(name =>
        new Crowd({ port: gateway.callerPort, clients: 1, script: { opening: head({ path: `/get/${name}` }) } })
    );
    context.after(() => silent.forEach(crowd => crowd.leave()));
    for (const route of ["get", "order", "chat", "once"]) {
        await Promise.all(names.map(async name => {
            const path = `/${route}/${name}`;
            let reply: CallerReply | undefined;
            while (reply === undefined && gateway.isRunning) {
                reply = await callGateway({ port: gateway.callerPort, path, patience: 4_000 }).catch(() => undefined);
            }
            assert.ok(reply?.status !== 200 || !reply.isComplete, `${path} was answered as complete`);
        }));
    }
    await gateway.serveOrdinaryCaller();
    context.diagnostic(`${gateway.peakMegabytes.toFixed(0)} MB at most`);
    assert.ok(gateway.isRunning, "the gateway has not ended");
    assert.ok(gateway.peakMegabytes <= smallestMachine.memory, `${gateway.peakMegabytes.toFixed(0)} MB at most`);
}

// Guards against a process that runs out of memory because of the bytes that one target sends without end.
test("a gateway bears targets whose replies have no end, in a head or a body", { timeout }, async context => {
    await bear(context, false);
});

test("a gateway bears targets whose reports have no end either", { timeout }, async context => {
    await bear(context, true);
});
