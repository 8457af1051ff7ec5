import { type Clock } from "@waxwingspar/utils";
import { type IncomingMessage, type ServerResponse } from "node:http";
import { afterInput } from "./afterInput.js";
import { type GuardedServer } from "./GuardedServer.js";

/** Options of {@link ServerStop}. @public */
export interface ServerStopOptions {
    readonly clock: Clock;
    readonly server: GuardedServer;
}

/** How long a planned stop may take, and what happens at its end. @public */
export interface StopLimit {
    /** Milliseconds in which the stop ends. */
    readonly limit: number;
    /** Answers the requests in progress. Those that are read from then on must be refused. */
    readonly endAll: () => void;
}

/** Milliseconds for the last answers to be written before all connections are closed. @public */
export const flushTime = 100;

/**
 * The planned stop of a server. Whatever has been received is answered, or refused shortly before the limit.
 *
 * @public
 */
export class ServerStop {
    private readonly open = new Set<ServerResponse>();
    private readonly emptyHandlers: (() => void)[] = [];
    private hasReachedEnd = false;

    constructor(private readonly options: ServerStopOptions) {
        const { http } = options.server;
        const track = (_: IncomingMessage, response: ServerResponse) => this.track(response);
        http.on("request", track);
        http.on("checkContinue", track);
    }

    /** Whether requests are only read to be refused. */
    get isFinishing(): boolean {
        return this.hasReachedEnd;
    }

    /** Stops accepting connections, lets those that are open end, and closes all of them by the limit. */
    async run({ limit, endAll }: StopLimit): Promise<void> {
        const { clock, server } = this.options;
        server.endConnections();
        server.stopListening();
        server.closeIdle();
        await waitWithin(clock, Math.max(0, limit - flushTime), this.whenIdle());
        await new Promise<void>(afterInput);
        this.hasReachedEnd = true;
        server.finishReading();
        await new Promise<void>(afterInput);
        endAll();
        await waitWithin(clock, flushTime, this.whenIdle());
        server.http.closeAllConnections();
        server.http.close();
    }

    private track(response: ServerResponse): void {
        this.open.add(response);
        response.once("close", () => {
            this.open.delete(response);
            if (this.open.size === 0) {
                this.emptyHandlers.splice(0).forEach(handler => handler());
            }
        });
    }

    /** Resolves once every request that has been received has its whole answer. */
    private async whenIdle(): Promise<void> {
        await new Promise<void>(afterInput);
        while (this.open.size > 0 || this.options.server.isBusy) {
            await (this.open.size > 0 ? this.whenNoneOpen() : new Promise<void>(afterInput));
        }
    }

    private whenNoneOpen(): Promise<void> {
        return new Promise(resolve => this.emptyHandlers.push(resolve));
    }
}

/** Waits for a promise, for a time in milliseconds at most. */
function waitWithin(clock: Clock, time: number, done: Promise<void>): Promise<void> {
    return new Promise(resolve => {
        const timer = clock.schedule(resolve, time);
        void done.then(() => {
            timer.cancel();
            resolve();
        });
    });
}
