import { type Socket } from "node:net";
import { buildConnector, Client, type Dispatcher, Pool } from "undici";
import { ReplyWatch } from "./ReplyWatch.js";

const firstFinalStatus = 200;

/** Options of {@link createWatchedPool}: those of undici's pool, with one request at a time on a connection. @public */
export type WatchedPoolOptions =
    & Omit<Pool.Options, "connect" | "factory" | "pipelining" | "allowH2" | "interceptors">
    & {
        readonly connect?: buildConnector.BuildOptions;
    };

/**
 * Creates a pool of connections that passes on a reply only if its bytes hold its whole head, and ends it as complete
 * only if they hold all of it. undici by itself ends a reply without a length that was reset as complete.
 *
 * With pipelining it would be unknown to which request a reply belongs, and whether a request queued behind a failed one
 * was sent.
 *
 * @public
 */
export function createWatchedPool(origin: string, { connect, ...options }: WatchedPoolOptions = {}): Pool {
    return new Pool(origin, {
        ...options,
        pipelining: 1,
        factory: (url, given) => new WatchedClient(url, { ...given, connect }),
    });
}

/** The present connection of a client and its request. */
interface ClientState {
    socket: Socket | undefined;
    watch: ReplyWatch | undefined;
    isHeadRequest: boolean;
}

/** Options of {@link WatchedClient}. */
type WatchedClientOptions = Omit<Client.Options, "connect"> & { readonly connect?: buildConnector.BuildOptions; };

/** One connection at a time, and one request at a time on it. */
class WatchedClient extends Client {
    private readonly state: ClientState;

    constructor(url: URL, { connect, ...options }: WatchedClientOptions) {
        const state: ClientState = { socket: undefined, watch: undefined, isHeadRequest: false };
        const connector = buildConnector({ ...connect, allowH2: false });
        super(url, {
            ...options,
            connect: (target, callback) =>
                connector(target, (...result: buildConnector.CallbackArgs) => {
                    const [error, socket] = result;
                    // After an error undici gives no second argument.
                    if (error === null) {
                        state.socket = socket;
                        state.watch = new ReplyWatch({ socket, isHeadRequest: () => state.isHeadRequest });
                    }
                    callback(...result);
                }),
        });
        this.state = state;
    }

    override dispatch(options: Dispatcher.DispatchOptions, handler: RawHandler): boolean {
        return super.dispatch(options, new WatchedReply(this.state, options.method === "HEAD", handler));
    }
}

/** Handlers as pools give them to clients, whose headers are not parsed yet. */
type RawHandler = Dispatcher.DispatchHandler;

/** Checks each claim of the parser about a reply. undici fails the request when a method throws. */
class WatchedReply implements RawHandler {
    constructor(
        private readonly state: ClientState,
        private readonly isHeadRequest: boolean,
        private readonly handler: RawHandler,
    ) {}

    onConnect(abort: (error?: Error) => void): void {
        this.state.isHeadRequest = this.isHeadRequest;
        this.handler.onConnect?.(abort);
    }

    onResponseStarted(): void {
        this.handler.onResponseStarted?.();
    }

    onHeaders(status: number, headers: Buffer[], resume: () => void, text: string): boolean {
        if (status >= firstFinalStatus && this.state.watch?.hasHead !== true) {
            throw new CutReplyError("head");
        }
        return this.handler.onHeaders?.(status, headers, resume, text) ?? true;
    }

    onData(chunk: Buffer): boolean {
        return this.handler.onData?.(chunk) ?? true;
    }

    onComplete(...trailers: Parameters<Required<RawHandler>["onComplete"]>): void {
        const { watch, socket } = this.state;
        if (watch?.isWhole !== true) {
            socket?.destroy();
            throw new CutReplyError("body");
        }
        watch.takeReply();
        this.handler.onComplete?.(...trailers);
    }

    onUpgrade(...upgrade: Parameters<Required<RawHandler>["onUpgrade"]>): void {
        this.handler.onUpgrade?.(...upgrade);
    }

    onBodySent(chunkSize: number, totalBytesSent: number): void {
        this.handler.onBodySent?.(chunkSize, totalBytesSent);
    }

    onError(error: Error): void {
        this.handler.onError?.(error);
    }
}

/** A reply whose bytes don't hold what the parser reports. */
class CutReplyError extends Error {
    readonly code = "CUT_REPLY";

    constructor(part: "head" | "body") {
        super(`the ${part} of the reply was cut`);
    }
}
