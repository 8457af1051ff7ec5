import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { type ClientScript } from "./scripts.js";

/** Options of {@link Crowd}. */
export interface CrowdOptions {
    readonly port: number;
    readonly clients: number;
    readonly script: ClientScript;
}

/** Milliseconds without a byte sent, a connection opened or closed after which a crowd has done what it can. */
const quietTime = 700;
/** Maximum milliseconds to wait for that. */
const maxPlayTime = 60_000;
const pollInterval = 50;

/** Clients that follow the same script on a connection each, and stay until they are told to leave. */
export class Crowd {
    private readonly clients: readonly Client[];

    constructor({ port, clients, script }: CrowdOptions) {
        this.clients = Array.from({ length: clients }, () => new Client(port, script));
    }

    /** Waits until the clients have sent all that the server lets them send. */
    async play(): Promise<void> {
        let seen = -1;
        let quietSince = performance.now();
        const endsAt = quietSince + maxPlayTime;
        while (performance.now() - quietSince < quietTime && performance.now() < endsAt) {
            const progress = this.clients.reduce((sum, client) => sum + client.progress, 0);
            if (progress !== seen) {
                seen = progress;
                quietSince = performance.now();
            }
            await pause(pollInterval);
        }
    }

    /** Number of connections that are open. */
    get open(): number {
        return this.clients.filter(({ isOpen }) => isOpen).length;
    }

    leave(): void {
        this.clients.forEach(client => client.leave());
    }
}

class Client {
    isOpen = true;
    private readonly socket: Socket;
    private sent = 0;
    private events = 0;

    constructor(port: number, private readonly script: ClientScript) {
        this.socket = connect({ port, host: "127.0.0.1" });
        this.socket.on("error", () => undefined);
        this.socket.once("close", () => {
            this.isOpen = false;
            this.events++;
        });
        this.socket.once("connect", () => {
            this.events++;
            if (script.opening !== "") {
                this.socket.write(script.opening);
            }
            this.sendBlocks();
        });
        this.socket.on("drain", () => this.sendBlocks());
        if (script.reads === true) {
            this.socket.on("data", () => this.events++);
        }
        else {
            this.socket.pause();
        }
    }

    /** Grows with whatever the client does. */
    get progress(): number {
        return this.events + this.socket.bytesWritten;
    }

    leave(): void {
        this.socket.destroy();
    }

    private sendBlocks(): void {
        const { block, blockBytes = 0 } = this.script;
        while (block !== undefined && this.sent < blockBytes && this.isOpen) {
            const piece = block.subarray(0, blockBytes - this.sent);
            this.sent += piece.length;
            if (!this.socket.write(piece)) {
                return;
            }
        }
    }
}
