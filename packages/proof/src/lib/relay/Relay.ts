import { connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";

/** The fault of one direction of a link. @internal */
export interface LinkFault {
    /** Nothing passes: bytes are held back until the fault ends, as TCP retransmission would deliver them. */
    readonly cut?: boolean;
    /** Milliseconds by which each piece is delayed. */
    readonly delay?: number;
    /** Throughput in bytes per second. */
    readonly rate?: number;
}

/**
 * Returns the fault of the direction from one process to another; undefined means none. The sender is undefined while
 * the process that opened the connection is not yet identified.
 *
 * @internal
 */
export type FaultPolicy = (from: string | undefined, to: string) => LinkFault | undefined;

/** @internal */
export interface RelayOptions {
    /** The process behind the relay. */
    readonly process: string;
    /** The loopback address of the relay and of the process. */
    readonly host: string;
    /** Where the relay listens. */
    readonly port: number;
    /** Where the process listens. */
    readonly targetPort: number;
    /** The names of all processes, to identify the opener of a plaintext link from its first bytes. */
    readonly names: readonly string[];
    readonly policy: FaultPolicy;
    /** The opener of every connection, if known in advance. */
    readonly opener?: string;
}

/** Milliseconds between checks whether a cut has ended. */
const cutPollInterval = 5;
const millisecondsPerSecond = 1000;

/**
 * A TCP relay in front of one process that injects faults into the links to it. A cut holds bytes back and delivers them
 * later, as retransmission does; it never drops some bytes while delivering later ones.
 *
 * @internal
 */
export class Relay {
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();

    constructor(private readonly options: RelayOptions) {
        this.server = createServer({ noDelay: true, allowHalfOpen: true }, socket => this.accept(socket));
    }

    listen(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.options.port, this.options.host, resolve);
        });
    }

    close(): void {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    private accept(near: Socket): void {
        const { process, names, policy, host, targetPort } = this.options;
        const far = connect({ host, port: targetPort, noDelay: true, allowHalfOpen: true });
        let { opener } = this.options;
        for (const socket of [near, far]) {
            this.sockets.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => this.sockets.delete(socket));
        }
        const identify = (piece: Buffer) => opener ??= findProcessName(piece, names);
        void pump(near, far, () => policy(opener, process), identify);
        void pump(far, near, () => opener === undefined ? policy(undefined, process) : policy(process, opener));
    }
}

/** Forwards the data that one socket receives to the other, applying the current fault, and then its end. */
async function pump(
    from: Socket,
    to: Socket,
    fault: () => LinkFault | undefined,
    onPiece: (piece: Buffer) => void = () => undefined,
): Promise<void> {
    let last = Promise.resolve();
    try {
        for await (const piece of from as AsyncIterable<Buffer>) {
            onPiece(piece);
            await waitWhileCut(to, fault);
            const { delay = 0, rate } = fault() ?? {};
            if (rate !== undefined) {
                await pause(piece.length / rate * millisecondsPerSecond);
            }
            if (delay === 0) {
                await last;
                await write(to, piece);
            }
            else {
                // Delays of several pieces overlap; the pieces are written in their order.
                const arrival = pause(delay);
                last = Promise.all([last, arrival]).then(() => waitWhileCut(to, fault)).then(() => write(to, piece));
            }
        }
        await last;
        await waitWhileCut(to, fault);
        to.end();
    }
    catch {
        to.destroy();
        from.destroy();
    }
}

async function waitWhileCut(to: Socket, fault: () => LinkFault | undefined): Promise<void> {
    while (fault()?.cut === true && !to.destroyed) {
        await pause(cutPollInterval);
    }
}

async function write(to: Socket, piece: Buffer): Promise<void> {
    if (!to.write(piece)) {
        await new Promise<void>(resolve => {
            to.once("drain", resolve);
            to.once("close", resolve);
        });
    }
}

/** Finds the process name in a plaintext hello; the longest match, as one name may be part of another. */
function findProcessName(piece: Buffer, names: readonly string[]): string | undefined {
    const text = piece.toString("latin1");
    return names.filter(name => text.includes(name)).sort((a, b) => b.length - a.length)[0];
}
