import assert from "node:assert/strict";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { refusesConnections } from "./refusesConnections.js";

test("a listening process accepts connections, a stopped one refuses them", async () => {
    const server = createServer(socket => socket.end()).listen(0, "127.0.0.1");
    await new Promise(resolve => server.once("listening", resolve));
    const target = { host: "127.0.0.1", port: (server.address() as AddressInfo).port };
    assert.equal(await refusesConnections(target), false);
    await new Promise(resolve => server.close(resolve));
    assert.equal(await refusesConnections(target), true);
});
