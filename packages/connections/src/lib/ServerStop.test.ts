import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { createSideServer } from "./createSideServer.js";
import { ServerStop } from "./ServerStop.js";

// Guards against requests that arrive after the event loop has looked for input and are cut when it closes connections.
test("a request that arrives in the very turn in which a stop begins is answered", async () => {
    const clock = new SystemClock();
    const server = createSideServer({ clock, onRequest: (_, response) => void response.end("answer") });
    const stop = new ServerStop({ clock, server });
    server.http.listen(0, "127.0.0.1");
    await once(server.http, "listening");
    const socket = connect((server.http.address() as AddressInfo).port, "127.0.0.1");
    const request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    let received = "";
    socket.write(request);
    socket.once("data", () => {
        socket.write(request);
        void stop.run({ limit: 1_000, endAll: () => undefined });
    });
    socket.on("data", data => received += data.toString());
    await once(socket, "close");
    assert.deepEqual(received.match(/Connection: [\w-]+/g), ["Connection: keep-alive", "Connection: close"]);
});
