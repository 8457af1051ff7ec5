import { type Clock } from "@waxwingspar/utils";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { GuardedServer } from "./GuardedServer.js";
import { MemoryBudget } from "./MemoryBudget.js";
import { clientLimits } from "./processLimits.js";

/** Options of {@link createSideServer}. @public */
export interface SideServerOptions {
    readonly clock: Clock;
    readonly onRequest: (incoming: IncomingMessage, response: ServerResponse) => void;
    /** Maximum number of connections; by default a share of the descriptors of the process. */
    readonly maxConnections?: number;
    /** Maximum bytes that all clients may occupy together. */
    readonly maxBytes?: number;
}

const defaultMaxBytes = 8_388_608;
/** Milliseconds. */
const headersTimeout = 5_000;
const requestTimeout = 30_000;
const maxHeaderSize = 16_384;

/**
 * Creates a server for probes, metrics, operators or peers: few connections, which are bounded like those of callers.
 *
 * @public
 */
export function createSideServer(options: SideServerOptions): GuardedServer {
    const { clock, onRequest, maxConnections = clientLimits().sideConnections, maxBytes = defaultMaxBytes } = options;
    const budget = new MemoryBudget({ clock, maxBytes });
    const server = { headersTimeout, requestTimeout, maxHeaderSize };
    return new GuardedServer({
        clock,
        budget,
        maxConnections,
        // Only once everything that arrived with a request is parsed can its answer tell whether it is the last one.
        onRequest: (incoming, response) => queueMicrotask(() => onRequest(incoming, response)),
        server,
    });
}
