import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { callerToken, chatBody, TestSite } from "./testing/TestSite.js";

const crowd = 20;
const stall = 100;

for (const close of ["end", "reset"] as const) {
    test(`requests whose callers left by ${close} while the process stood still are not sent`, async context => {
        const site = await new TestSite().start();
        context.after(() => site.entry.stop());
        const sockets = Array.from({ length: crowd }, () => connect(site.port, "127.0.0.1"));
        await Promise.all(sockets.map(socket => once(socket, "connect")));
        await pause(0);
        for (const socket of sockets) {
            socket.on("error", () => undefined);
            const body = JSON.stringify(chatBody(4, true));
            socket.write([
                "POST /v1/chat/completions HTTP/1.1",
                "Host: x",
                `Authorization: Bearer ${callerToken}`,
                `Content-Length: ${body.length}`,
                "",
                body,
            ].join("\r\n"));
            if (close === "end") {
                socket.destroy();
            }
            else {
                socket.resetAndDestroy();
            }
        }
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, stall);
        await pause(stall);
        assert.deepEqual(site.agents.map(({ received }) => received.length), site.agents.map(() => 0));
    });
}
