import {
    type Clock,
    type Failure,
    failure,
    type Outcome,
    type Random,
    seededRandom,
    SystemClock,
    transportCodes,
} from "@waxwingspar/utils";
import { randomInt } from "node:crypto";
import { connect as connectTcp, type Socket } from "node:net";
import { connect as connectTls } from "node:tls";
import { Result } from "true-myth";
import { type BaseLink } from "../BaseLink.js";
import { type Link, type RpcMethod } from "../Link.js";
import { type Address, type LinkPool } from "../LinkPool.js";
import { type Hello } from "../messages/common.js";
import { clientTlsOptions, type LinkCredentials, mayUse } from "./credentials.js";
import { defaultLimits, type LinkLimits, openLink } from "./TcpLink.js";

/**
 * Options of a {@link TcpLinkPool}.
 *
 * @public
 */
export interface TcpLinkPoolOptions {
    /** The hello that this process sends to every peer. */
    readonly hello: Hello;
    readonly credentials: LinkCredentials;
    /** JSON-RPC methods offered to every peer. */
    readonly methods?: Readonly<Record<string, RpcMethod>>;
    readonly clock?: Clock;
    /** The source of jitter. */
    readonly random?: Random;
    readonly limits?: LinkLimits;
    /** Milliseconds of back-off after the first failed attempt; doubles with each further failure. Default 50. */
    readonly minBackoff?: number;
    /** The longest back-off, in milliseconds. Default 2000. */
    readonly maxBackoff?: number;
}

/** The connection state of one address. */
interface Slot {
    link?: BaseLink;
    attempt?: Promise<Outcome<Link>>;
    failures: number;
    /** The time before which no attempt is made. */
    notBefore: number;
}

/** The maximum number of addresses whose state is kept; beyond it the oldest without a link or attempt are evicted. */
const maxSlots = 20_000;

/**
 * A pool of links over TCP, one for each address.
 *
 * @example
 * ```ts
 * const pool = new TcpLinkPool({ hello, credentials });
 * const link = await pool.connect({ host: "10.0.0.7", port: 7000 });
 * ```
 * @public
 */
export class TcpLinkPool implements LinkPool {
    private readonly slots = new Map<string, Slot>();
    private readonly sockets = new Set<Socket>();
    private readonly openHandlers: ((link: Link, address: Address) => void)[] = [];
    private readonly clock: Clock;
    private readonly random: Random;
    private readonly limits: Required<LinkLimits>;
    private closed = false;

    constructor(private readonly options: TcpLinkPoolOptions) {
        this.clock = options.clock ?? new SystemClock();
        this.random = options.random ?? seededRandom(randomInt(0x7fff_ffff));
        this.limits = { ...defaultLimits, ...options.limits };
    }

    connect(address: Address): Promise<Outcome<Link>> {
        const open = this.current(address);
        if (open !== undefined) {
            return Promise.resolve(Result.ok(open));
        }
        const refusal = this.refusal(address);
        if (refusal !== undefined) {
            return Promise.resolve(Result.err(refusal));
        }
        const slot = this.slot(address);
        slot.attempt ??= this.attempt(address, slot);
        return slot.attempt;
    }

    current(address: Address): Link | undefined {
        const link = this.slots.get(keyOf(address))?.link;
        return link?.open === true && !link.peerClosing ? link : undefined;
    }

    onOpen(handler: (link: Link, address: Address) => void): void {
        this.openHandlers.push(handler);
    }

    close(): void {
        this.closed = true;
        this.slots.forEach(slot => slot.link?.close());
    }

    /** Destroys every connection immediately, as a crash of the process would. Queued data is lost. */
    terminate(): void {
        this.closed = true;
        this.sockets.forEach(socket => socket.destroy());
    }

    private refusal(address: Address): Failure | undefined {
        if (this.closed) {
            return failure(transportCodes.notConnected, "the pool is closed");
        }
        if (!mayUse(this.options.credentials, address.host)) {
            return failure(
                transportCodes.notConnected,
                `plaintext links are allowed on loopback only, not on ${address.host}`,
            );
        }
        const wait = (this.slots.get(keyOf(address))?.notBefore ?? 0) - this.clock.now();
        if (wait > 0) {
            return failure(transportCodes.notConnected, "backing off after a failed connection attempt", {
                retryAfter: wait,
            });
        }
        return undefined;
    }

    private slot(address: Address): Slot {
        const key = keyOf(address);
        const known = this.slots.get(key);
        if (known !== undefined) {
            return known;
        }
        const slot: Slot = { failures: 0, notBefore: 0 };
        this.slots.set(key, slot);
        this.evictOldSlots();
        return slot;
    }

    private evictOldSlots(): void {
        for (const [key, slot] of this.slots) {
            if (this.slots.size <= maxSlots) {
                return;
            }
            if (slot.link === undefined && slot.attempt === undefined) {
                this.slots.delete(key);
            }
        }
    }

    private async attempt(address: Address, slot: Slot): Promise<Outcome<Link>> {
        const opened = await this.open(address, slot);
        slot.attempt = undefined;
        if (opened.isErr) {
            slot.failures++;
            slot.notBefore = this.clock.now() + this.backoff(slot.failures);
            return Result.err(opened.error);
        }
        slot.failures = 0;
        return opened;
    }

    private backoff(failures: number): number {
        const { minBackoff = 50, maxBackoff = 2000 } = this.options;
        const full = Math.min(maxBackoff, minBackoff * 2 ** Math.min(failures - 1, 20));
        return full / 2 + this.random.next() * full / 2;
    }

    private open(address: Address, slot: Slot): Promise<Outcome<Link>> {
        return new Promise(resolve => {
            const socket = this.createSocket(address, () => {
                timer.cancel();
                openLink({
                    stream: socket,
                    hello: this.options.hello,
                    clock: this.clock,
                    methods: this.options.methods ?? {},
                    limits: this.limits,
                    onOpen: link => resolve(this.opened(address, slot, link)),
                    onRefused: reason => resolve(Result.err(failure(transportCodes.notConnected, reason.message))),
                });
            });
            const timer = this.clock.schedule(
                () => socket.destroy(new Error("connection timed out")),
                this.limits.connectTimeout,
            );
            socket.on("error", error => {
                resolve(Result.err(failure(transportCodes.notConnected, error.message)));
            });
            this.sockets.add(socket);
            socket.on("close", () => {
                this.sockets.delete(socket);
                timer.cancel();
                resolve(
                    Result.err(failure(transportCodes.notConnected, "the connection closed before the link was open")),
                );
            });
        });
    }

    private createSocket(address: Address, onConnect: () => void): Socket {
        const tls = clientTlsOptions(this.options.credentials);
        const { host, port } = address;
        const socket = tls === undefined
            ? connectTcp({ host, port }, onConnect)
            : connectTls({ ...tls, host, port }, onConnect);
        socket.setNoDelay(true);
        return socket;
    }

    private opened(address: Address, slot: Slot, link: BaseLink): Outcome<Link> {
        if (this.closed) {
            link.close();
            return Result.err(failure(transportCodes.notConnected, "the pool is closed"));
        }
        slot.link = link;
        link.onClose(() => {
            if (slot.link === link) {
                slot.link = undefined;
            }
        });
        this.openHandlers.forEach(handler => handler(link, address));
        return Result.ok(link);
    }
}

function keyOf(address: Address): string {
    return `${address.host} ${address.port}`;
}
