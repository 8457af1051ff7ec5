import { createSideServer } from "@waxwingspar/connections";
import { type Clock } from "@waxwingspar/utils";
import { type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { type Address } from "../GatewaySettings.js";

/** Options of {@link ReadinessServer}. */
export interface ReadinessServerOptions {
    readonly clock: Clock;
    readonly address: Address;
    /** Called at each probe. */
    readonly isReady: () => boolean;
}

const ready = 200;
const notReady = 503;

/** Answers the load balancer's probes with status 200 while the process accepts new callers, and 503 otherwise. */
export class ReadinessServer {
    private readonly server: Server;

    constructor(private readonly options: ReadinessServerOptions) {
        const { clock, isReady } = options;
        this.server = createSideServer({
            clock,
            onRequest: (_request, response) => {
                response.writeHead(isReady() ? ready : notReady, { "Content-Length": 0 });
                response.end();
            },
        }).http;
    }

    /** The address that the server listens on. */
    get address(): AddressInfo {
        return this.server.address() as AddressInfo;
    }

    start(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            const { host, port } = this.options.address;
            this.server.listen(port, host, resolve);
        });
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
