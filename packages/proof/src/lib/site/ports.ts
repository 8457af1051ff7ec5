import { createServer, type Server } from "node:net";

/** Ports below those that Linux gives to outgoing connections, one of which might take a port before its server listens. */
const range = { first: 10_240, blocks: 88, blockSize: 256 };
/** The ports of this process: sites of several processes are started at the same time. */
const firstPort = range.first + process.pid % range.blocks * range.blockSize;
let taken = 0;

/**
 * Finds free ports on a loopback address. All ports are bound at the same time, so that none is returned twice, and neither
 * an outgoing connection nor another process that finds ports takes one before it is used, or while the process that
 * listens on it restarts.
 *
 * @public
 */
export async function findPorts(host: string, count: number): Promise<number[]> {
    const servers: Server[] = [];
    while (servers.length < count) {
        const server = await listen(host, firstPort + taken++ % range.blockSize);
        servers.push(...server === undefined ? [] : [server]);
    }
    const ports = servers.map(server => (server.address() as { port: number; }).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** @returns Undefined if the port is in use. */
function listen(host: string, port: number): Promise<Server | undefined> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once(
            "error",
            (error: NodeJS.ErrnoException) => error.code === "EADDRINUSE" ? resolve(undefined) : reject(error),
        );
        server.listen(port, host, () => resolve(server));
    });
}
