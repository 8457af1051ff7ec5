import { serve, type TargetBehaviour } from "@waxwingspar/platform/testing";
import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { before, test, type TestContext } from "node:test";
import { fileURLToPath } from "node:url";
import { Crowd } from "./Crowd.js";
import { GatewayUnderTest, type GatewayUnderTestOptions, smallestMachine } from "./GatewayUnderTest.js";
import {
    almostWholeBody,
    almostWholeChunks,
    announcedBody,
    type ClientScript,
    endlessChunks,
    head,
    headInPieces,
    largestBody,
    requestsAhead,
    silence,
} from "./scripts.js";

interface GatewayPlay extends GatewayUnderTestOptions {
    readonly clients: number;
    readonly script: ClientScript;
    /** By default the one for callers. */
    readonly port?: (gateway: GatewayUnderTest) => number;
}

const root = fileURLToPath(new URL("../../../../", import.meta.url));
const timeout = 180_000;
const megabyteReply = Buffer.alloc(1_000_000, "x");

before(() => {
    execFileSync(process.execPath, ["scripts/bundle.mjs"], { cwd: root });
});

/** Answers an ordinary request as usual, and any other with a megabyte. */
const answerLarge: TargetBehaviour = (seen, response, target) => {
    if (seen.path === "/get/ordinary") {
        serve(seen, response, target);
        return;
    }
    response.writeHead(200, { ...target.replyHeaders(seen), "Content-Length": megabyteReply.length });
    response.end(megabyteReply);
};

/** Streams events of a kilobyte without a pause for as long as they are taken. */
const streamLarge: TargetBehaviour = (seen, response, target) => {
    response.writeHead(200, { ...target.replyHeaders(seen), "Content-Type": "text/event-stream" });
    let id = 0;
    const send = () => {
        while (!response.destroyed && id < 20_000 && response.write(`id: ${id++}\ndata: ${"x".repeat(1_000)}\n\n`)) {
            // Goes on until the connection is full.
        }
    };
    response.on("drain", send);
    send();
};

/** Plays a crowd and checks what holds while it stays and after it has left. */
async function bear(context: TestContext, { clients, script, port, ...options }: GatewayPlay): Promise<void> {
    const { memory = smallestMachine.memory, sockets = smallestMachine.sockets } = options;
    const gateway = new GatewayUnderTest(options);
    context.after(() => gateway.stop());
    await gateway.start();
    const crowd = new Crowd({ port: port?.(gateway) ?? gateway.callerPort, clients, script });
    context.after(() => crowd.leave());
    await crowd.play();
    context.diagnostic(`${crowd.open} of ${clients} clients still connected`);
    assert.ok(gateway.isRunning, "the gateway has not ended");
    const { openSockets } = gateway;
    await gateway.serveOrdinaryCaller();
    context.diagnostic(`${gateway.peakMegabytes.toFixed(0)} MB at most, ${openSockets} sockets`);
    assert.ok(openSockets <= sockets, `${openSockets} sockets are open`);
    crowd.leave();
    await gateway.serveOrdinaryCaller();
    assert.ok(gateway.peakMegabytes <= memory, `${gateway.peakMegabytes.toFixed(0)} MB at most`);
    while (!await gateway.isReady()) {
        assert.ok(gateway.isRunning, "the gateway has not ended");
    }
}

test("gateway bears bodies announced far over the limit", { timeout }, context => {
    return bear(context, { clients: 40, script: announcedBody("/get/x") });
});

test("gateway bears announced bodies that wait for 100 Continue", { timeout }, context => {
    return bear(context, { clients: 40, script: announcedBody("/get/x", ["Expect: 100-continue"]) });
});

test("gateway bears chunks without end", { timeout }, context => {
    return bear(context, { clients: 40, script: endlessChunks("/get/x") });
});

test("gateway bears bodies that stop short of their length", { timeout }, context => {
    return bear(context, { clients: 60, script: almostWholeBody("/get/x", largestBody) });
});

test("gateway bears large chunks that stop short of the limit", { timeout }, context => {
    return bear(context, { clients: 60, script: almostWholeChunks("/get/x", largestBody, 65_000) });
});

test("gateway bears chunks of one byte that stop short of the limit", { timeout }, context => {
    return bear(context, { clients: 60, script: almostWholeChunks("/get/x", 400_000, 1) });
});

test("gateway bears requests sent ahead at unknown paths", { timeout }, context => {
    return bear(context, { clients: 60, script: requestsAhead("GET /n HTTP/1.1\r\nHost: a\r\n\r\n", 8_000_000) });
});

test("gateway bears requests with bodies sent ahead at unknown paths", { timeout }, context => {
    const request = "POST /n HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
    return bear(context, { clients: 60, script: requestsAhead(request, 8_000_000) });
});

test("gateway bears large answers that nobody reads", { timeout }, context => {
    const script = requestsAhead(head({ path: "/get/x", method: "GET" }), 65_536);
    return bear(context, { clients: 40, script, behaviour: answerLarge });
});

test("gateway bears streams that nobody reads", { timeout }, context => {
    const script = requestsAhead(head({ path: "/chat/x", headers: ["Content-Length: 0"] }), 4_096);
    return bear(context, { clients: 40, script, streamBehaviour: streamLarge });
});

test("gateway bears many streams that come at once and that nobody reads", { timeout }, context => {
    const script: ClientScript = { opening: head({ path: "/chat/x", headers: ["Content-Length: 0"] }) };
    return bear(context, { clients: 200, script, streamBehaviour: streamLarge });
});

test("gateway bears heads that never end", { timeout }, context => {
    return bear(context, { clients: 1_000, script: headInPieces(60_000) });
});

test("gateway bears heads of many short lines whose bodies stop short of their length", { timeout }, context => {
    const lines = Array.from({ length: 1_900 }, (_, index) => `X${index}: 1`);
    const script: ClientScript = {
        opening: `${head({ path: "/get/x", headers: [...lines, "Content-Length: 10"] })}short`,
    };
    return bear(context, { clients: 300, script });
});

test("gateway bears more silent connections than it has descriptors", { timeout }, context => {
    return bear(context, { clients: 600, script: silence, sockets: 300 });
});

test("gateway bears silent connections at its readiness port", { timeout }, context => {
    return bear(context, { clients: 600, script: silence, sockets: 300, port: ({ readinessPort }) => readinessPort });
});

test("gateway bears requests sent ahead at its readiness port", { timeout }, context => {
    const script = requestsAhead("GET /n HTTP/1.1\r\nHost: a\r\n\r\n", 8_000_000);
    return bear(context, { clients: 150, script, port: ({ readinessPort }) => readinessPort });
});

test("gateway bears requests sent ahead at its metrics port", { timeout }, context => {
    const script = requestsAhead("GET /n HTTP/1.1\r\nHost: a\r\n\r\n", 1_000_000);
    return bear(context, { clients: 60, script, port: ({ metricsPort }) => metricsPort });
});

test("gateway bears requests sent ahead at its port for peers", { timeout }, context => {
    const script = requestsAhead("GET /n HTTP/1.1\r\nHost: a\r\n\r\n", 8_000_000);
    return bear(context, { clients: 150, script, port: ({ peerPort }) => peerPort });
});
