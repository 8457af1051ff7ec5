import { createServer, type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { type Address } from "../GatewaySettings.js";

const ready = 200;
const notReady = 503;

/** Answers the load balancer's probes with status 200 while the process accepts new callers, and 503 otherwise. */
export class ReadinessServer {
    private readonly server: Server;

    /** @param isReady - Called at each probe. */
    constructor(private readonly listenAddress: Address, isReady: () => boolean) {
        this.server = createServer((_request, response) => {
            response.writeHead(isReady() ? ready : notReady, { "Content-Length": 0 });
            response.end();
        });
    }

    /** The address that the server listens on. */
    get address(): AddressInfo {
        return this.server.address() as AddressInfo;
    }

    start(): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(this.listenAddress.port, this.listenAddress.host, resolve);
        });
    }

    close(): void {
        this.server.close();
        this.server.closeAllConnections();
    }
}
