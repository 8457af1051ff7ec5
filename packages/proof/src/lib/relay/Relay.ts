import { connect, createServer, type Server, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";

/** What a link does with the bytes of one direction. @internal */
export interface LinkFault {
    /** Nothing passes: bytes wait, as those of TCP do, until the fault is over. */
    readonly cut?: boolean;
    /** Milliseconds that each piece is late. */
    readonly delay?: number;
    /** Bytes per second that pass. */
    readonly rate?: number;
}

/**
 * Decides what a link does with bytes that flow from one process to another. A process that is not known yet is
 * undefined.
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
    /** Names of all processes, to tell from the first bytes of a plaintext link who opened it. */
    readonly names: readonly string[];
    readonly policy: FaultPolicy;
    /** Who opens every connection, where that is known. */
    readonly opener?: string;
}

const cutPollInterval = 5;
const millisecondsPerSecond = 1000;

/**
 * A TCP relay in front of one process, which makes the links to it fail as told. A cut holds the bytes back and
 * delivers them late, as retransmission does; it never loses some and delivers others.
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

/** Passes on what one socket receives, piece by piece, and its end. */
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
                // Pieces travel at the same time, in their order.
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

/** The name of the process that a plaintext hello carries; the longest that fits. */
function findProcessName(piece: Buffer, names: readonly string[]): string | undefined {
    const text = piece.toString("latin1");
    return names.filter(name => text.includes(name)).sort((a, b) => b.length - a.length)[0];
}
