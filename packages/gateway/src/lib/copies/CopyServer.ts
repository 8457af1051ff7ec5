import { createSideServer } from "@waxwingspar/connections";
import { type Clock } from "@waxwingspar/utils";
import { type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type Logger } from "pino";
import { type Address } from "../GatewaySettings.js";
import { LineLimit } from "../observation/LineLimit.js";
import { encodeTableCopy, type TableCopy } from "./TableCopy.js";

/** Options of {@link CopyServer}. */
export interface CopyServerOptions {
    readonly clock: Clock;
    readonly address: Address;
    readonly logger: Logger;
    /** Whether a process at a host may read copies, which contain credentials. */
    readonly mayRead: (host: string) => boolean;
}

/** What a gateway answers to a peer that asks for a copy. */
type CopyAnswer =
    | { readonly kind: "copy"; readonly bytes: Promise<Buffer>; }
    /** Too many transfers are running. Peers that have the copy already can be asked instead. */
    | { readonly kind: "busy"; readonly holders: readonly string[]; }
    | { readonly kind: "none"; };

interface KeptCopy {
    readonly version: number;
    readonly bytes: Promise<Buffer>;
    readonly holders: Set<string>;
}

/** Transfers at a time: with more, none of them would end before the others on a narrow link. */
const maxTransfers = 4;
/** Bytes of all transfers at a time; connections share the bytes of a copy. */
const maxTransferBytes = 268_435_456;
/** Milliseconds after which a connection on which nothing moves is closed, so that it does not count as a transfer. */
const idleTime = 5_000;
/** Peers that a busy gateway names. */
const maxHolders = 8;
const status = { ok: 200, forbidden: 403, notFound: 404, busy: 503 };

/** Path of the copy of a table. */
export function copyPath(table: string): string {
    return `/tables/${encodeURIComponent(table)}`;
}

/** Header with the address of the gateway that asks, so that it can be named to others. */
export const askerHeader = "x-gateway-address";

/** Hands copies of tables to the other gateways of the data centre. */
export class CopyServer {
    private readonly server: Server;
    private readonly copies = new Map<string, KeptCopy>();
    private readonly refusalLines: LineLimit;
    private transfers = 0;

    constructor(private readonly options: CopyServerOptions) {
        const { clock, logger } = options;
        this.refusalLines = new LineLimit({ clock, logger });
        this.server = createSideServer({
            clock,
            maxBytes: maxTransferBytes,
            onRequest: (request, response) => void this.handle(request, response),
        }).http;
        this.server.setTimeout(idleTime);
    }

    /** Starts to listen. A gateway whose port is taken works without handing on copies. */
    start(): Promise<void> {
        const { address: { host, port }, logger } = this.options;
        return new Promise(resolve => {
            this.server.once("error", (error: Error) => {
                logger.warn({ error: error.message }, "copies cannot be handed on");
                resolve();
            });
            this.server.listen(port, host, resolve);
        });
    }

    stop(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Keeps a copy instead of an older one of the same table. */
    keep(copy: TableCopy, encoded?: Buffer): void {
        const bytes = encoded === undefined ? encodeTableCopy(copy) : Promise.resolve(encoded);
        const kept = { version: copy.version, bytes, holders: new Set<string>() };
        this.copies.set(copy.table, kept);
        bytes.catch((error: unknown) => {
            this.options.logger.warn({ table: copy.table, error: String(error) }, "copy cannot be handed on");
            if (this.copies.get(copy.table) === kept) {
                this.copies.delete(copy.table);
            }
        });
    }

    private answer(table: string | undefined): CopyAnswer {
        const copy = this.copies.get(table ?? "");
        if (copy === undefined) {
            return { kind: "none" };
        }
        return this.transfers < maxTransfers
            ? { kind: "copy", bytes: copy.bytes }
            : { kind: "busy", holders: [...copy.holders].slice(-maxHolders) };
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { remoteAddress = "" } = request.socket;
        if (!this.options.mayRead(remoteAddress)) {
            if (this.refusalLines.take()) {
                this.options.logger.warn({ remoteAddress }, "copy refused to an unknown host");
            }
            response.writeHead(status.forbidden).end();
            return;
        }
        const table = [...this.copies.keys()].find(name => request.url === copyPath(name));
        const answer = this.answer(table);
        if (answer.kind === "none") {
            response.writeHead(status.notFound).end();
            return;
        }
        if (answer.kind === "busy") {
            response.writeHead(status.busy, { "Content-Type": "application/json" });
            response.end(JSON.stringify(answer.holders));
            return;
        }
        this.countTransfer(response, this.copies.get(table ?? ""), request.headers[askerHeader]);
        const bytes = await answer.bytes.catch(() => undefined);
        if (bytes === undefined) {
            response.writeHead(status.notFound).end();
        }
        else if (!response.destroyed) {
            response.writeHead(status.ok, { "Content-Length": bytes.length });
            response.end(bytes);
        }
    }

    /** Counts a transfer until its connection is done with it, and notes who has the copy then. */
    private countTransfer(response: ServerResponse, copy: KeptCopy | undefined, asker: unknown): void {
        this.transfers++;
        let isSent = false;
        response.once("finish", () => isSent = true);
        response.once("close", () => {
            this.transfers--;
            if (isSent && typeof asker === "string") {
                copy?.holders.add(asker);
            }
        });
    }
}
