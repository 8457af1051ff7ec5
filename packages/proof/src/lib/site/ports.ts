import { createServer, type Server } from "node:net";

/**
 * Finds free ports on loopback. All are held at the same time, so that no port is found twice.
 *
 * @internal
 */
export async function findPorts(count: number): Promise<number[]> {
    const servers = await Promise.all(Array.from({ length: count }, listen));
    const ports = servers.map(server => (server.address() as { port: number; }).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function listen(): Promise<Server> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => resolve(server));
    });
}
