import { type Clock } from "@waxwingspar/utils";
import { type Logger } from "pino";
import { type SlotGroup } from "../admission/SlotGroup.js";
import { type Address } from "../GatewaySettings.js";
import { type PermitGroup } from "../limits/SendPermits.js";
import { type GroupSums } from "./GroupSums.js";
import { IssuerShare } from "./IssuerShare.js";
import { type MemberRows } from "./MemberRows.js";
import { PeerExchange } from "./PeerExchange.js";
import { type PeerExchangeOptions } from "./PeerExchangeOptions.js";
import { PeerSocket } from "./PeerSocket.js";
import { SlotShare } from "./SlotShare.js";

type ForwardedOption =
    | "describe"
    | "words"
    | "knownConfiguration"
    | "onKnownConfiguration"
    | "onTableStatus"
    | "onSums"
    | "onOther";

/** Options of {@link PeerGroup}. */
export interface PeerGroupOptions extends Pick<PeerExchangeOptions, ForwardedOption> {
    readonly clock: Clock;
    /** The table through which gateways discover each other. */
    readonly rows: MemberRows;
    readonly process: string;
    readonly incarnation: string;
    readonly address: Address;
    readonly dataCentre: string;
    readonly logger: Logger;
    /** Called once if the socket for datagrams fails and cannot be opened again. */
    readonly onLost: (error: Error) => void;
}

/** Milliseconds between two heartbeats. */
const heartbeatInterval = 200;
/** Milliseconds between attempts to join the group. */
const joinRetryDelay = 500;
/**
 * Milliseconds between reads of the member table while no other gateway of the own data centre is alive: all gateways
 * known there may have been replaced.
 */
const rejoinInterval = 10_000;

/**
 * The group of gateways of a site, as seen by one of them. Gateways discover each other at the start through a table of
 * the store, and then exchange their state in datagrams.
 */
export class PeerGroup implements PermitGroup, SlotGroup {
    private readonly socket: PeerSocket;
    private readonly exchange: PeerExchange;
    private readonly share: IssuerShare;
    private readonly slots: SlotShare;
    private isStopped = false;
    private nextRead = -Infinity;

    constructor(private readonly options: PeerGroupOptions) {
        const { clock, process, incarnation, dataCentre, logger, address, onLost } = options;
        const onDatagram = (datagram: string) => this.exchange.receive(datagram);
        this.socket = new PeerSocket({ clock, address, logger, onDatagram, onLost });
        this.share = new IssuerShare(clock);
        this.slots = new SlotShare(clock);
        this.exchange = new PeerExchange({
            clock,
            process,
            incarnation,
            own: { address: this.address, dataCentre },
            logger,
            send: (to, datagram) => this.send(to, datagram),
            describe: options.describe,
            words: options.words,
            knownConfiguration: options.knownConfiguration,
            onKnownConfiguration: options.onKnownConfiguration,
            onTableStatus: options.onTableStatus,
            onSums: options.onSums,
            onOther: options.onOther,
        });
    }

    /** Host and port of this gateway in the group. */
    get address(): string {
        const { host, port } = this.options.address;
        return `${host}:${port}`;
    }

    /** The number of gateways that share the site's budget, including this one; infinite until the group is known. */
    get groupSize(): number {
        return this.share.groupSize;
    }

    /** The share of a limit that this gateway issues permits for, from 0 to 1. */
    get issuerShare(): number {
        return this.share.value;
    }

    /** The data centre of this gateway. */
    get dataCentre(): string {
        return this.options.dataCentre;
    }

    /** The largest recent number of gateways of the own data centre; infinite until they are known. */
    get localSize(): number {
        return this.slots.localSize;
    }

    /** The number of gateways of the own data centre in contact, including this one. */
    get localMembers(): number {
        return this.slots.localMembers;
    }

    /** The share of the slots of heads that this gateway issues, from 0 to 1. */
    get slotShare(): number {
        return this.slots.value;
    }

    /** The address of the gateway that issues the permits and slots for targets of a data centre. */
    findIssuer(dataCentre: string): string {
        return this.exchange.findIssuer(dataCentre);
    }

    /** The aggregated state of all other gateways. */
    get others(): GroupSums {
        return this.exchange.others;
    }

    /** Number of requests of all other gateways in flight on chains that begin at a target. */
    chainLoad(headId: string): number {
        return this.exchange.others.chainLoads[headId] ?? 0;
    }

    /** Milliseconds since the latest moment to which any peer has confirmed the state of a table. */
    tableAge(table: string): number {
        return this.exchange.tableAge(table);
    }

    /** Whether a gateway of the own data centre is known at a host. */
    hasLocalHost(host: string): boolean {
        return this.exchange.hasLocalHost(host);
    }

    /** Whether this process aggregates the reports of other gateways of its data centre. */
    get isRelay(): boolean {
        return this.exchange.isRelay;
    }

    /** Whether gateways that are not relays report to this process. */
    get hasFollowers(): boolean {
        return this.exchange.hasFollowers;
    }

    /** Whether datagrams of other gateways are received. */
    get isListening(): boolean {
        return this.socket.isListening;
    }

    /** @throws Error if the address for datagrams cannot be bound; see {@link PeerSocket.open}. */
    async start(): Promise<void> {
        await this.socket.open();
        if (this.isStopped) {
            return;
        }
        this.sendHeartbeats();
        void this.join();
    }

    stop(): void {
        this.isStopped = true;
        this.options.rows.stop();
        this.socket.close();
    }

    /**
     * Writes this process to the member table and only then reads the other members: if two processes start together,
     * the one that writes later reads the other's row and introduces itself with its heartbeats.
     */
    private async join(): Promise<void> {
        while (!this.isStopped) {
            await this.options.rows.register();
            if (await this.readMembers()) {
                this.share.join(this.exchange.knownCounts);
                this.slots.join(this.exchange.knownCounts);
                this.options.logger.info({ members: this.exchange.knownMembers }, "joined");
                return;
            }
            await this.pause(joinRetryDelay);
        }
    }

    private pause(duration: number): Promise<void> {
        return new Promise(resolve => void this.options.clock.schedule(resolve, duration));
    }

    /** @returns Whether the member table could be read. */
    private async readMembers(): Promise<boolean> {
        this.nextRead = this.options.clock.now() + rejoinInterval;
        const members = await this.options.rows.read();
        members?.forEach(({ host, port, dataCentre }) =>
            this.exchange.addMember({ address: `${host}:${port}`, dataCentre })
        );
        return members !== undefined;
    }

    private sendHeartbeats(): void {
        if (this.isStopped) {
            return;
        }
        const { clock } = this.options;
        this.exchange.sendHeartbeats();
        const all = this.exchange.others.members + 1;
        this.share.record({ dataCentre: this.exchange.localMembers, all });
        this.slots.record({ dataCentre: this.exchange.dataCentreMembers, all });
        if (this.exchange.isIsolated && clock.now() >= this.nextRead) {
            void this.readMembers();
        }
        clock.schedule(() => this.sendHeartbeats(), heartbeatInterval);
    }

    /** Sends a datagram to a gateway; delivery is not guaranteed. */
    send(to: string, datagram: string): void {
        const colon = to.lastIndexOf(":");
        this.socket.send(datagram, Number(to.slice(colon + 1)), to.slice(0, colon));
    }
}
