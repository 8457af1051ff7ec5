import { createServer, type Server } from "node:net";

/**
 * Finds free ports on a loopback address. All ports are bound at the same time, so that none is returned twice. Outgoing
 * connections use 127.0.0.1, so a port found on another loopback address stays free, even while its process restarts.
 *
 * @public
 */
export async function findPorts(host: string, count: number): Promise<number[]> {
    const servers = await Promise.all(Array.from({ length: count }, () => listen(host)));
    const ports = servers.map(server => (server.address() as { port: number; }).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function listen(host: string): Promise<Server> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, host, () => resolve(server));
    });
}
