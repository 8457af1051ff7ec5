import { type CallerReply } from "@waxwingspar/platform/testing";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { ReplyReader } from "./ReplyReader.js";

/** Options of {@link SoakConnection}. */
export interface SoakConnectionOptions {
    readonly port: number;
    readonly now: () => number;
}

/** A connection on which requests may be sent ahead and in pieces, and whose answers may be read slowly. */
export class SoakConnection {
    /** When it ended; undefined while it is open. */
    closedAt: number | undefined;
    private readonly socket: Socket;
    private readonly reader = new ReplyReader();
    private readonly replies: CallerReply[] = [];
    /** Called when a reply came or the connection ended. */
    private notify: () => void = () => undefined;

    constructor(private readonly options: SoakConnectionOptions) {
        this.socket = connect(options.port, "127.0.0.1");
        this.socket.setNoDelay(true);
        this.socket.on("error", () => undefined);
        this.socket.on("data", data => this.take(this.reader.add(data)));
        this.socket.once("end", () => this.close());
        this.socket.once("close", () => this.close());
    }

    /** @returns Whether it was opened. */
    async open(): Promise<boolean> {
        return await Promise.race([
            once(this.socket, "connect").then(() => true, () => false),
            once(this.socket, "close").then(() => false, () => false),
        ]);
    }

    /** @returns When the text was handed to the operating system; undefined if it was not. */
    write(text: string): Promise<number | undefined> {
        return new Promise(resolve => {
            if (this.closedAt !== undefined) {
                resolve(undefined);
                return;
            }
            this.socket.write(text, error => resolve(error ? undefined : this.options.now()));
        });
    }

    /** Reads nothing more for a while, once something has come. */
    readLater(duration: number): void {
        this.socket.once("data", () => {
            this.socket.pause();
            setTimeout(() => this.socket.resume(), duration);
        });
    }

    /** @returns The next reply, whole unless the connection ended in it; undefined if it ended before. */
    async receive(): Promise<CallerReply | undefined> {
        while (this.replies.length === 0 && this.closedAt === undefined) {
            await new Promise<void>(resolve => this.notify = resolve);
        }
        return this.replies.shift();
    }

    destroy(): void {
        this.socket.destroy();
        this.close();
    }

    private close(): void {
        if (this.closedAt === undefined) {
            this.closedAt = this.options.now();
            const last = this.reader.end();
            this.take(last === undefined ? [] : [last]);
        }
    }

    private take(replies: readonly CallerReply[]): void {
        this.replies.push(...replies);
        this.notify();
    }
}
