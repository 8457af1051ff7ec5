import { MetricRegistry } from "@waxwingspar/telemetry";
import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { OperatorsServer } from "./OperatorsServer.js";

test("a probe that lies in its socket when the server closes is answered, and a silent client is closed", async () => {
    const clock = new SystemClock();
    const listen = { host: "127.0.0.1", port: 0 };
    const server = new OperatorsServer({ listen, clock, registry: new MetricRegistry(clock), ready: () => true });
    const address = await server.listen();
    assert(address.isOk);
    const clients = ["", "GET /half"].map(text => {
        const socket = connect(address.value.port, "127.0.0.1");
        socket.write(text);
        return socket;
    });
    const kept = connect(address.value.port, "127.0.0.1");
    const probe = "GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n";
    let received = "";
    kept.write(probe);
    kept.on("data", data => received += data.toString());
    await once(kept, "data");
    kept.write(probe);
    const closed = once(kept, "close");
    await server.close();
    await closed;
    clients.forEach(socket => socket.destroy());
    assert.equal(received.match(/HTTP\/1.1 200/g)?.length, 2);
    assert.equal(received.match(/Connection: close/g)?.length, 1);
});
