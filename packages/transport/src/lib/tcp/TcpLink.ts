import { type Clock, type Failure, failure, type Timer, transportCodes } from "@waxwingspar/utils";
import { type Duplex } from "node:stream";
import { BaseLink, pingMethod } from "../BaseLink.js";
import { type RpcMethod } from "../Link.js";
import { type Hello, protocolVersion } from "../messages/common.js";
import { type Message } from "../messages/Message.js";
import { StreamWire } from "./StreamWire.js";

/** The largest frame that is accepted before the peer's hello, in bytes. */
const maxFirstFrame = 4096;

/**
 * Limits and timeouts of a link.
 *
 * @public
 */
export interface LinkLimits {
    /** The largest frame in either direction, in bytes. Default 32 MiB. */
    readonly maxFrame?: number;
    /** The maximum number of queued bytes; beyond it the link is closed, since the peer is too slow. Default 64 MiB. */
    readonly maxQueued?: number;
    /** Milliseconds to connect and to receive the peer's hello. Default 2000. */
    readonly connectTimeout?: number;
    /** Milliseconds without a received frame after which the peer is pinged. Default 2000. */
    readonly heartbeat?: number;
    /** Milliseconds without a received frame after which the link is closed as lost. Default 6000. */
    readonly silence?: number;
}

/** The defaults of {@link LinkLimits}. @internal */
export const defaultLimits: Required<LinkLimits> = {
    maxFrame: 32 * 1024 * 1024,
    maxQueued: 64 * 1024 * 1024,
    connectTimeout: 2000,
    heartbeat: 2000,
    silence: 6000,
};

/** @internal */
export interface OpenLinkOptions {
    readonly stream: Duplex;
    readonly hello: Hello;
    readonly clock: Clock;
    readonly methods: Readonly<Record<string, RpcMethod>>;
    readonly limits: Required<LinkLimits>;
    /** Runs once the peer's hello has arrived, before its first message is handled. */
    readonly onOpen: (link: BaseLink) => void;
    /** Runs instead of `onOpen` when no valid hello arrived in time. */
    readonly onRefused: (reason: Failure) => void;
}

/**
 * Opens a link over a connected stream: sends the hello, waits for the peer's hello, then monitors the peer's liveness.
 *
 * @internal
 */
export function openLink(options: OpenLinkOptions): void {
    const { clock, limits, hello } = options;
    let link: BaseLink | undefined;
    const wire = new StreamWire({
        stream: options.stream,
        maxFrame: limits.maxFrame,
        maxFirstFrame,
        maxQueued: limits.maxQueued,
        onMessage: message => link === undefined ? receiveHello(message) : link.receive(message),
        onEnd: ended,
    });
    const helloTimer = clock.schedule(() => wire.fail(helloTimeout()), limits.connectTimeout);
    wire.send(hello);
    // The hello is sent in a frame of its own, since the peer accepts only small frames until it has received it.
    wire.flush();

    function receiveHello(message: Message): Failure | undefined {
        const refusal = checkHello(message);
        if (refusal !== undefined || message.type !== "hello") {
            return refusal;
        }
        helloTimer.cancel();
        wire.allowLargeFrames();
        link = new BaseLink({ peer: message, clock, methods: options.methods, wire });
        monitorPeer(link, wire, clock, limits);
        options.onOpen(link);
        return undefined;
    }

    function ended(reason: Failure | undefined): void {
        helloTimer.cancel();
        if (link === undefined) {
            options.onRefused(
                reason ?? failure(transportCodes.notConnected, "the peer closed the connection before its hello"),
            );
            return;
        }
        link.ended(reason);
    }
}

function helloTimeout(): Failure {
    return failure(transportCodes.notConnected, "no hello in time");
}

function checkHello(message: Message): Failure | undefined {
    if (message.type !== "hello") {
        return failure(transportCodes.protocolViolation, `${message.type} before hello`);
    }
    if (message.protocol !== protocolVersion) {
        const versions = `protocol ${message.protocol}, expected ${protocolVersion}`;
        return failure(transportCodes.protocolViolation, versions);
    }
    return undefined;
}

/** Pings a silent peer and closes the link if it stays silent; a broken network path is not detected otherwise. */
function monitorPeer(link: BaseLink, wire: StreamWire, clock: Clock, limits: Required<LinkLimits>): void {
    let seen = wire.framesReceived;
    let lastFrameAt = clock.now();
    let timer: Timer;
    function check(): void {
        if (wire.framesReceived !== seen) {
            seen = wire.framesReceived;
            lastFrameAt = clock.now();
        }
        else if (clock.now() - lastFrameAt >= limits.silence) {
            wire.fail(failure(transportCodes.connectionLost, `no frame received for ${limits.silence} ms`));
            return;
        }
        else {
            void link.request(pingMethod, {}, limits.silence);
        }
        timer = clock.schedule(check, limits.heartbeat);
    }
    timer = clock.schedule(check, limits.heartbeat);
    link.onClose(() => timer.cancel());
}
