import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test, type TestContext } from "node:test";
import { HttpEngine } from "./HttpEngine.js";

const block = 65_536;
const answerLimit = 1_000_000;

/** Calls an engine that answers with a text, and then with another one again and again. @returns The failure. */
async function callOdd(context: TestContext, start: string, flood = ""): Promise<{ name: string; execution: string; }> {
    const server = createServer(socket => {
        const write = () => {
            while (flood !== "" && !socket.destroyed && !socket.writableNeedDrain) {
                socket.write(flood.repeat(Math.ceil(block / flood.length)));
            }
        };
        socket.on("error", () => undefined);
        socket.on("drain", write);
        socket.once("data", () => {
            socket.write(start);
            write();
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    const engine = new HttpEngine({ clock: new SystemClock(), origin, answerLimit });
    context.after(async () => {
        await engine.disconnect();
        server.close();
    });
    const outcome = await engine.info();
    assert.ok(outcome.isErr);
    return outcome.error.code;
}

// Guards against an answer without a final status that ends the process, or tells that a call has not run.
test("an engine's answer without a final status leaves the outcome of the call unknown", async context => {
    for (const status of ["000", "042", "099", "101", "600", "999"]) {
        const { execution } = await callOdd(context, `HTTP/1.1 ${status} OK\r\nContent-Length: 2\r\n\r\nok`);
        assert.equal(execution, "unknown", status);
    }
    const { execution } = await callOdd(context, "HTTP/1.1 101 OK\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n");
    assert.equal(execution, "unknown");
});

// Guards against an answer without end that is kept until the process runs out of memory.
test("an engine's answer without end is given up, in a head and in a body", async context => {
    for (
        const [start, flood] of [
            ["HTTP/1.1 200 OK\r\nX: ", "x"],
            ["HTTP/1.1 200 OK\r\n", "X: 1\r\n"],
            ["", "HTTP/1.1 100 Continue\r\n\r\n"],
            ["HTTP/1.1 200 OK\r\n\r\n", "x"],
            ["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n".concat("x".repeat(1_024), "\r\n")],
            ["HTTP/1.1 500 OK\r\n\r\n", "x"],
        ] as const
    ) {
        assert.equal((await callOdd(context, start, flood)).execution, "unknown", JSON.stringify(start));
    }
});
