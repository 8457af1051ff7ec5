import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "node:test";
import { createWatchedPool } from "./createWatchedPool.js";

test("requests of each method on one kept connection get their replies", async () => {
    let connections = 0;
    const server = createServer((_, response) => {
        response.setHeader("Content-Length", 2);
        response.end("{}");
    });
    server.on("connection", () => connections++);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const pool = createWatchedPool(`http://127.0.0.1:${port}`, { connections: 1 });
    for (const method of ["POST", "HEAD", "GET", "HEAD", "GET"] as const) {
        const { statusCode, body } = await pool.request({ method, path: "/" });
        assert.deepEqual([statusCode, await body.text()], [200, method === "HEAD" ? "" : "{}"]);
    }
    assert.ok(connections <= 3, `${connections} connections`);
    await pool.destroy();
    server.close();
});

// Guards against a refused connection that ends the process, since it has no socket to watch.
test("a connection that cannot be opened fails its request", async () => {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    await new Promise(resolve => server.close(resolve));
    const pool = createWatchedPool(`http://127.0.0.1:${port}`);
    await assert.rejects(pool.request({ method: "GET", path: "/" }), { code: "ECONNREFUSED" });
    await pool.destroy();
});
