import { randomInt } from "node:crypto";
import { createServer, type Server } from "node:net";

/** Ports below those that Linux gives to outgoing connections, one of which might take a port before its server listens. */
const range = { first: 10_240, end: 32_768 };

/**
 * Finds free ports on a loopback address. All ports are bound at the same time, so that none is returned twice, and no
 * outgoing connection takes one meanwhile, not even while the process that listens on it restarts.
 *
 * @public
 */
export async function findPorts(host: string, count: number): Promise<number[]> {
    const servers = await Promise.all(Array.from({ length: count }, () => listen(host)));
    const ports = servers.map(server => (server.address() as { port: number; }).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Listens on any free port of the range. */
async function listen(host: string): Promise<Server> {
    for (;;) {
        const server = createServer();
        const isListening = await new Promise<boolean>((resolve, reject) => {
            server.once(
                "error",
                (error: NodeJS.ErrnoException) => error.code === "EADDRINUSE" ? resolve(false) : reject(error),
            );
            server.listen(randomInt(range.first, range.end), host, () => resolve(true));
        });
        if (isListening) {
            return server;
        }
    }
}
