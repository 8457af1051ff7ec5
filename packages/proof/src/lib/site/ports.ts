import { createServer, type Server } from "node:net";

/** Ports below those that Linux gives to outgoing connections, one of which might take a port before its server listens. */
const range = { first: 10_240, blocks: 88, blockSize: 256 };
/** The first port of this process's block. Sites of several processes are started at the same time. */
let ownBlock: Promise<number> | undefined;
let taken = 0;

/**
 * Finds free ports on a loopback address. All ports are bound at the same time, so that none is returned twice, and neither
 * an outgoing connection nor another process that finds ports takes one before it is used, or while the process that
 * listens on it restarts.
 *
 * @public
 */
export async function findPorts(host: string, count: number): Promise<number[]> {
    ownBlock ??= claimBlock(host);
    const first = await ownBlock;
    const servers: Server[] = [];
    while (servers.length < count) {
        const server = await listen(host, first + 1 + taken++ % (range.blockSize - 1));
        servers.push(...server === undefined ? [] : [server]);
    }
    const ports = servers.map(server => (server.address() as { port: number; }).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

/** Claims a block by listening on its first port for as long as this process lives. */
async function claimBlock(host: string): Promise<number> {
    for (let attempt = 0; attempt < range.blocks; attempt++) {
        const first = range.first + (process.pid + attempt) % range.blocks * range.blockSize;
        const claim = await listen(host, first);
        if (claim !== undefined) {
            claim.unref();
            return first;
        }
    }
    throw new Error(`all ${range.blocks} blocks of ports from ${range.first} on are claimed`);
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
