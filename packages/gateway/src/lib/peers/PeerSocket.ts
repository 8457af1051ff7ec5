import { type Clock, sleep, transportCodes } from "@waxwingspar/utils";
import { createSocket, type Socket } from "node:dgram";
import { type Logger } from "pino";
import { type Address } from "../GatewaySettings.js";

/** Options of {@link PeerSocket}. */
export interface PeerSocketOptions {
    readonly clock: Clock;
    readonly address: Address;
    readonly logger: Logger;
    readonly onDatagram: (datagram: string) => void;
    /** Called once if a socket that was open fails and cannot be opened again. */
    readonly onLost: (error: Error) => void;
    /** Creates an unbound socket. Default a UDP socket of Node.js. */
    readonly createSocket?: () => Socket;
}

/**
 * Milliseconds for which the address is tried. A previous process of this host may hold it until it has drained, which
 * takes 8 s.
 */
export const bindTimeout = 10_000;
/** Bounds of the milliseconds between two attempts. */
const bindRetryDelay = { min: 50, max: 1_000 };

/**
 * The UDP socket over which gateways exchange datagrams. Without it a gateway neither counts in the sums of the group
 * nor knows them, so it must not serve: an address in use is tried again, and a socket that fails is replaced.
 */
export class PeerSocket {
    private socket: Socket | undefined;
    private isClosed = false;

    constructor(private readonly options: PeerSocketOptions) {}

    get isListening(): boolean {
        return this.socket !== undefined;
    }

    /**
     * Opens the socket.
     *
     * @throws Error with the number of `address-unavailable` if the address cannot be bound within {@link bindTimeout}.
     */
    async open(): Promise<void> {
        const { clock, address, logger } = this.options;
        const startedAt = clock.now();
        for (let delay = bindRetryDelay.min; !this.isClosed; delay = Math.min(bindRetryDelay.max, delay * 2)) {
            const result = await this.bind();
            if (!(result instanceof Error)) {
                this.use(result);
                return;
            }
            if (clock.now() - startedAt + delay > bindTimeout) {
                throw createBindError(address, result);
            }
            logger.warn({ address, error: result.message, retryAfter: delay }, "address cannot be bound");
            await sleep(clock, delay);
        }
    }

    close(): void {
        this.isClosed = true;
        this.socket?.close();
        this.socket = undefined;
    }

    /** Sends a datagram if the socket is open. Delivery is not guaranteed. */
    send(datagram: string, port: number, host: string): void {
        // A datagram that cannot be sent is not sent again, since the next heartbeat follows.
        this.socket?.send(datagram, port, host, error => {
            if (error !== null) {
                this.options.logger.warn({ error: String(error), peer: `${host}:${port}` }, "send failed");
            }
        });
    }

    private bind(): Promise<Socket | Error> {
        const { address, createSocket: create = () => createSocket("udp4") } = this.options;
        const socket = create();
        return new Promise(resolve => {
            socket.once("error", error => {
                socket.close();
                resolve(error);
            });
            socket.bind(address.port, address.host, () => {
                socket.removeAllListeners("error");
                resolve(socket);
            });
        });
    }

    private use(socket: Socket): void {
        const { address, logger, onDatagram } = this.options;
        if (this.isClosed) {
            socket.close();
            return;
        }
        socket.on("message", data => onDatagram(data.toString("utf8")));
        socket.once("error", error => this.replace(socket, error));
        this.socket = socket;
        logger.info({ address }, "listening");
    }

    private replace(failed: Socket, error: Error): void {
        // Further errors of a socket that is being closed change nothing.
        failed.on("error", () => undefined);
        failed.close();
        this.socket = undefined;
        this.options.logger.error({ address: this.options.address, error: error.message }, "socket failed");
        this.open().catch((cause: unknown) => this.options.onLost(cause instanceof Error ? cause : error));
    }
}

function createBindError({ host, port }: Address, cause: Error): Error {
    const { number, name } = transportCodes.addressUnavailable;
    return new Error(`${number} ${name}: ${host}:${port}/udp cannot be bound: ${cause.message}`, { cause });
}
