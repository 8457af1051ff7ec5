import { type Failure, type Outcome } from "@waxwingspar/utils";
import { type Hello } from "./messages/common.js";
import { type Message } from "./messages/Message.js";

/**
 * Answers one JSON-RPC method.
 *
 * @param params - The parameters as they arrived; the method validates them.
 * @param link - The link on which the call arrived.
 * @public
 */
export type RpcMethod = (params: unknown, link: Link) => Promise<Outcome<unknown>>;

/**
 * One authenticated connection to another process. Messages of one direction arrive in order, or the link closes.
 *
 * @public
 */
export interface Link {
    /** The hello that the peer sent. */
    readonly peer: Hello;
    /** False once the link is closed; messages sent from then on are dropped. */
    readonly open: boolean;
    /** Bytes accepted by {@link Link.send} that the operating system has not yet taken. */
    readonly queuedBytes: number;
    /** Queues a message. Messages of one turn of the event loop are sent in one write. */
    send(message: Message): void;
    /**
     * Calls a JSON-RPC method of the peer.
     *
     * @param method - The method's name, such as `config.since`.
     * @param params - Any value that JSON can hold.
     * @param timeout - Milliseconds to wait for the answer.
     * @returns The peer's answer; `transportCodes.requestTimeout` or `connectionLost` when the outcome is unknown.
     */
    request(method: string, params: unknown, timeout: number): Promise<Outcome<unknown>>;
    /** Sets the only function that handles messages other than `hello` and `rpc`. */
    onMessage(handler: (message: Message) => void): void;
    /**
     * Adds a function that runs once, when the link has closed. It is given the failure that closed the link, or
     * undefined when either end closed it intentionally.
     */
    onClose(handler: (reason: Failure | undefined) => void): void;
    /** Flushes queued messages, then closes the link. */
    close(): void;
}
