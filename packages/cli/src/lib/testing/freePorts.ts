import { createServer, type Server } from "node:net";

/**
 * The range of candidate ports: above the well-known ports and below those that Linux assigns to outgoing connections
 * (from 32768 by default). An outgoing connection may take one of the latter before the command under test listens on
 * it, which failed 1 of 36 runs with three test files of commands running in parallel on a busy machine.
 */
const range = { first: 10_000, end: 32_000 };

/** Finds ports on 127.0.0.1 that are not in use. All are bound at the same time, so that they differ. @internal */
export async function freePorts(count: number): Promise<number[]> {
    const held = new Map<number, Server>();
    while (held.size < count) {
        const port = range.first + Math.floor(Math.random() * (range.end - range.first));
        const server = held.has(port) ? undefined : await listen(port);
        if (server !== undefined) {
            held.set(port, server);
        }
    }
    await Promise.all([...held.values()].map(server => new Promise(resolve => server.close(resolve))));
    return [...held.keys()];
}

/** @returns Undefined if the port is in use. */
function listen(port: number): Promise<Server | undefined> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}
