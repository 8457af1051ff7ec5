import { type Clock, type Failure, failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Link, type RpcMethod } from "./Link.js";
import { type Hello } from "./messages/common.js";
import { type Message } from "./messages/Message.js";
import { RpcChannel } from "./rpc/RpcChannel.js";

/** Built-in method that a peer answers immediately, which shows that the link works in both directions. @internal */
export const pingMethod = "link.ping";

/** Built-in notification: the sender will close this link soon, intentionally. @internal */
export const closingMethod = "link.closing";

/**
 * The connection that carries the messages of a {@link BaseLink}.
 *
 * @internal
 */
export interface Wire {
    readonly queuedBytes: number;
    send(message: Message): void;
    /** Flushes and closes. */
    close(): void;
}

/** @internal */
export interface BaseLinkOptions {
    readonly peer: Hello;
    readonly clock: Clock;
    readonly methods: Readonly<Record<string, RpcMethod>>;
    readonly wire: Wire;
}

/**
 * The part of a link that does not depend on the wire: message handlers, JSON-RPC and the closed state.
 *
 * @internal
 */
export class BaseLink implements Link {
    readonly peer: Hello;
    /** True once the peer has announced that it will close this link. */
    peerClosing = false;
    private isOpen = true;
    private readonly wire: Wire;
    private readonly rpc: RpcChannel;
    private handler: ((message: Message) => void) | undefined;
    private early: Message[] = [];
    private readonly closeHandlers: ((reason: Failure | undefined) => void)[] = [];
    private closeReason: Failure | undefined;

    constructor(options: BaseLinkOptions) {
        this.peer = options.peer;
        this.wire = options.wire;
        const methods: Record<string, RpcMethod> = {
            ...options.methods,
            [pingMethod]: () => Promise.resolve(Result.ok(true)),
            [closingMethod]: () => Promise.resolve(Result.ok(this.markPeerClosing())),
        };
        this.rpc = new RpcChannel({
            clock: options.clock,
            methods,
            link: this,
            send: body => this.send({ type: "rpc", body }),
        });
    }

    get open(): boolean {
        return this.isOpen;
    }

    get queuedBytes(): number {
        return this.wire.queuedBytes;
    }

    send(message: Message): void {
        if (this.isOpen) {
            this.wire.send(message);
        }
    }

    request(method: string, params: unknown, timeout: number): Promise<Outcome<unknown>> {
        return this.rpc.request(method, params, timeout);
    }

    onMessage(handler: (message: Message) => void): void {
        this.handler = handler;
        const early = this.early;
        this.early = [];
        early.forEach(message => handler(message));
    }

    onClose(handler: (reason: Failure | undefined) => void): void {
        if (!this.isOpen) {
            handler(this.closeReason);
            return;
        }
        this.closeHandlers.push(handler);
    }

    close(): void {
        if (this.isOpen) {
            this.wire.close();
            this.ended(undefined);
        }
    }

    /** Notifies the peer that this link will close soon, intentionally. */
    announceClosing(): void {
        if (this.isOpen) {
            this.rpc.notify(closingMethod, {});
        }
    }

    /**
     * Handles a message from the wire.
     *
     * @returns The failure with which the wire must be closed if the message violates the protocol.
     */
    receive(message: Message): Failure | undefined {
        if (message.type === "hello") {
            return failure(transportCodes.protocolViolation, "unexpected second hello");
        }
        if (message.type === "rpc") {
            return this.rpc.receive(message.body)
                ? undefined
                : failure(
                    transportCodes.protocolViolation,
                    "body of rpc message is neither a JSON-RPC request nor a response",
                );
        }
        if (this.handler === undefined) {
            this.early.push(message);
            return undefined;
        }
        this.handler(message);
        return undefined;
    }

    /** Handles the end of the wire. */
    ended(reason: Failure | undefined): void {
        if (!this.isOpen) {
            return;
        }
        this.isOpen = false;
        this.closeReason = reason;
        this.early = [];
        this.rpc.close();
        this.closeHandlers.forEach(handler => handler(reason));
    }

    private markPeerClosing(): boolean {
        this.peerClosing = true;
        return true;
    }
}
