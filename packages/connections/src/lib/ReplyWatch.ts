import { type Socket } from "node:net";
import { ReplyFraming, type ReplyFramingOptions } from "./ReplyFraming.js";

/** Options of {@link ReplyWatch}. @public */
export interface ReplyWatchOptions extends ReplyFramingOptions {
    readonly socket: Socket;
}

/**
 * Follows the replies of one socket of an HTTP client, from its bytes: see {@link ReplyFraming}. The client asks it
 * before it believes its parser.
 *
 * The watch must exist before anything of the replies has arrived.
 *
 * @public
 */
export class ReplyWatch {
    private readonly framing: ReplyFraming;
    /** Number of whole replies that were taken before the present one. */
    private taken = 0;
    private readonly unfollow: () => void;
    private isReset = false;

    constructor(options: ReplyWatchOptions) {
        this.framing = new ReplyFraming(options);
        this.unfollow = this.follow(options.socket);
    }

    /** Whether the head of the present reply has ended. */
    get hasHead(): boolean {
        return this.framing.heads > this.taken;
    }

    /** Whether the present reply is whole. */
    get isWhole(): boolean {
        return this.framing.wholes > this.taken;
    }

    /** Whether the connection was reset although Node.js reported an ordinary end. */
    get wasReset(): boolean {
        return this.isReset;
    }

    /** Turns to the next reply of the socket. */
    takeReply(): void {
        this.taken++;
    }

    /** Stops following the socket. */
    stop(): void {
        this.unfollow();
    }

    /**
     * Examines what the socket receives before any of its readers gets it. A listener for data would change how the socket
     * is read, and would get bytes again that a reader had put back.
     */
    private follow(socket: Socket): () => void {
        const own = Object.getOwnPropertyDescriptor(socket, "push");
        const push = socket.push.bind(socket);
        socket.push = (...pushed: Parameters<Socket["push"]>) => {
            const chunk: unknown = pushed[0];
            if (chunk instanceof Uint8Array) {
                this.framing.receive(chunk);
            }
            else {
                this.receiveEnd(socket);
            }
            return push(...pushed);
        };
        return () => {
            Reflect.deleteProperty(socket, "push");
            if (own !== undefined) {
                Object.defineProperty(socket, "push", own);
            }
        };
    }

    /** If the last bytes and a reset arrive together, Node.js reports an end, but the socket has no remote address then. */
    private receiveEnd(socket: Socket): void {
        this.isReset = socket.remoteAddress === undefined;
        if (!this.isReset) {
            this.framing.receiveEnd();
        }
    }
}
