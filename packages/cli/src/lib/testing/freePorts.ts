import { createServer, type Server } from "node:net";

/**
 * Ports that are tried: above the well-known ones and below those that the operating system gives to outgoing connections (from
 * 32768 on as Linux is set up). A port among the latter may be taken again before the command under test listens on it: with
 * three test files of commands side by side, beside a busy machine, that failed 1 of 36 runs.
 */
const range = { first: 10_000, end: 32_000 };

/** Finds ports on 127.0.0.1 that nothing listens on. All are held at the same time, so that none is found twice. @internal */
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

/** @returns Undefined where the port is in use. */
function listen(port: number): Promise<Server | undefined> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}
