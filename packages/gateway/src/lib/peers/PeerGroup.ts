import { type Clock, type Random } from "@waxwingspar/utils";
import { createSocket, type Socket } from "node:dgram";
import { type Logger } from "pino";
import * as z from "zod/mini";
import { type Address } from "../GatewaySettings.js";
import { type Store, type WriteResult } from "../store/Store.js";
import { type StoreEras } from "../store/StoreEras.js";
import { GroupSize } from "./GroupSize.js";
import { type GroupSums } from "./GroupSums.js";
import { PeerExchange, type PeerExchangeOptions } from "./PeerExchange.js";

/** A row of the table of members. */
const memberSchema = z.object({ host: z.string(), port: z.number(), dataCentre: z.string() });

/** Options of {@link PeerGroup}. */
export interface PeerGroupOptions extends Pick<PeerExchangeOptions, "describe" | "words" | "onWord" | "onSums"> {
    readonly clock: Clock;
    readonly store: Store;
    readonly eras: StoreEras;
    readonly random: Random;
    readonly process: string;
    readonly incarnation: string;
    readonly address: Address;
    readonly dataCentre: string;
    readonly logger: Logger;
}

const membersTable = "gateways";
/** Milliseconds between two heartbeats. */
const heartbeatInterval = 200;
/** Milliseconds between two tries to enter the table of members. */
const joinRetry = 500;
/**
 * Milliseconds between two reads of the table by a process that hears nobody of its data centre: all that it knew there may have
 * been replaced.
 */
const rejoinInterval = 10_000;
/** Milliseconds over which gateways enter the table again that the store has lost, so that they do not crowd it. */
const enterSpread = 2_000;

/**
 * The gateways of a site as one of them sees them. They find each other through a table of the store, once at the start,
 * and then tell each other by datagrams what they believe.
 */
export class PeerGroup {
    private readonly socket: Socket = createSocket("udp4");
    private readonly exchange: PeerExchange;
    private readonly size: GroupSize;
    private isStopped = false;
    private nextRead = -Infinity;
    private stopListening: () => void = () => undefined;

    constructor(private readonly options: PeerGroupOptions) {
        const { clock, process, incarnation, address, dataCentre, logger } = options;
        this.size = new GroupSize(clock);
        this.exchange = new PeerExchange({
            clock,
            process,
            incarnation,
            own: { address: `${address.host}:${address.port}`, dataCentre },
            logger,
            send: (to, datagram) => this.send(to, datagram),
            describe: options.describe,
            words: options.words,
            onWord: options.onWord,
            onSums: options.onSums,
        });
    }

    /** How many gateways share what the site may spend, this one included; infinite until the group is known. */
    get groupSize(): number {
        return this.size.value;
    }

    /** What all other gateways told of themselves. */
    get others(): GroupSums {
        return this.exchange.others;
    }

    /** Requests of all other gateways in flight on chains that begin at a target. */
    chainLoad(headId: string): number {
        return this.exchange.others.chainLoads[headId] ?? 0;
    }

    /** Milliseconds since any peer that was heard here surely knew a table as it was. */
    tableAge(table: string): number {
        return this.exchange.tableAge(table);
    }

    /** Whether this process adds up what others of its data centre report. */
    get isRelay(): boolean {
        return this.exchange.isRelay;
    }

    /** Whether gateways that are no relays report to it. */
    get hasFollowers(): boolean {
        return this.exchange.hasFollowers;
    }

    async start(): Promise<void> {
        const { address, logger } = this.options;
        this.socket.on("message", data => this.exchange.receive(data.toString("utf8")));
        this.socket.on("error", (error: Error) => logger.warn({ error: error.message }, "socket failed"));
        await new Promise<void>(resolve => this.socket.bind(address.port, address.host, resolve));
        logger.info({ address }, "listening");
        this.beat();
        this.stopListening = this.options.eras.onRise(() => this.enterAgain());
        void this.join();
    }

    stop(): void {
        this.isStopped = true;
        this.stopListening();
        this.socket.close();
    }

    /**
     * Enters this process in the table of members, and only then reads who else is there: of two that start together,
     * the later writer sees the earlier one, and its heartbeats tell the other.
     */
    private async join(): Promise<void> {
        while (!this.isStopped) {
            await this.enterTable();
            if (await this.readMembers()) {
                this.size.join(this.exchange.knownMembers + 1);
                this.options.logger.info({ members: this.exchange.knownMembers }, "joined");
                return;
            }
            await this.pause(joinRetry);
        }
    }

    /** A copy that the store went back to may lack this process, and those that start later learn of it there. */
    private enterAgain(): void {
        const { clock, random } = this.options;
        clock.schedule(() => void this.enterTable(), random.next() * enterSpread);
    }

    private async enterTable(): Promise<void> {
        let expectedVersion = 0;
        while (!this.isStopped) {
            const written = await this.enter(expectedVersion);
            if (written.kind === "written") {
                return;
            }
            expectedVersion = written.kind === "conflict" ? written.rows[0]?.version ?? 0 : expectedVersion;
            await this.pause(joinRetry);
        }
    }

    private pause(duration: number): Promise<void> {
        return new Promise(resolve => void this.options.clock.schedule(resolve, duration));
    }

    private enter(expectedVersion: number): Promise<WriteResult> {
        const { store, process, address, dataCentre } = this.options;
        return store.write({ table: membersTable, key: process, value: { ...address, dataCentre }, expectedVersion });
    }

    /** @returns Whether the table could be read. */
    private async readMembers(): Promise<boolean> {
        this.nextRead = this.options.clock.now() + rejoinInterval;
        const members = await this.options.store.read(membersTable);
        if (members.kind !== "read") {
            return false;
        }
        members.rows.forEach(({ value }) => this.learnMember(value));
        return true;
    }

    /** A row that is none, for instance of another version of this program, names no member. */
    private learnMember(value: unknown): void {
        const member = memberSchema.safeParse(value);
        if (member.success) {
            const { host, port, dataCentre } = member.data;
            this.exchange.learn({ address: `${host}:${port}`, dataCentre });
        }
    }

    private beat(): void {
        if (this.isStopped) {
            return;
        }
        const { clock } = this.options;
        this.exchange.beat();
        this.size.note(this.exchange.others.members + 1);
        if (this.exchange.isAlone && clock.now() >= this.nextRead) {
            void this.readMembers();
        }
        clock.schedule(() => this.beat(), heartbeatInterval);
    }

    private send(to: string, datagram: string): void {
        const colon = to.lastIndexOf(":");
        // A datagram that cannot be sent is lost like any other; the next one follows.
        this.socket.send(datagram, Number(to.slice(colon + 1)), to.slice(0, colon), error => {
            if (error !== null) {
                this.options.logger.warn({ error: String(error), peer: to }, "send failed");
            }
        });
    }
}
