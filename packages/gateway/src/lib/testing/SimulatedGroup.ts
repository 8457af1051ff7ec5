import { ManualClock, type Random, seededRandom } from "@waxwingspar/utils";
import { type Moment } from "../Moment.js";
import { GroupSize } from "../peers/GroupSize.js";
import { type GroupSums } from "../peers/GroupSums.js";
import { type KnownConfiguration } from "../peers/heartbeat.js";
import { IssuerShare } from "../peers/IssuerShare.js";
import { PeerExchange } from "../peers/PeerExchange.js";
import { type TableStatuses } from "../peers/PeerExchangeOptions.js";
import { type PeerState } from "../peers/PeerState.js";
import { SlotShare } from "../peers/SlotShare.js";
import { type TableWatch } from "../store/TableWatch.js";
import { type TableStatus } from "../store/TableWatchOptions.js";
import { silentLogs } from "./fixtures.js";

/** Options of {@link SimulatedGroup}. */
export interface SimulatedGroupOptions {
    readonly dataCentres?: number;
    readonly gatewaysEach?: number;
    readonly seed?: number;
    /** Share of the datagrams that are lost. */
    readonly loss?: number;
    /** Share of the datagrams that are delivered twice. */
    readonly duplicates?: number;
    /** Longest delivery time of a datagram in milliseconds. */
    readonly maxDelay?: number;
    /** Milliseconds within which the gateways start, at random. */
    readonly startSpread?: number;
    /** Whether each gateway initially knows only those created before it, as at the first start of a site. */
    readonly isFirstStart?: boolean;
    /** Last octet of the first gateway's address. */
    readonly firstAddress?: number;
}

interface Traffic {
    messages: number;
    bytes: number;
}

/** One gateway of a {@link SimulatedGroup}. */
export interface SimulatedGateway {
    readonly name: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly exchange: PeerExchange;
    readonly size: GroupSize;
    readonly issuerShare: IssuerShare;
    readonly slotShare: SlotShare;
    /** The state that its heartbeats carry; tests may change it. */
    state: PeerState;
    /** Sets the listener for the sums of the other gateways' states. */
    onPeerSums(listener: (others: GroupSums) => void): void;
    /** Sets the handler of datagrams that are no heartbeats. */
    onDatagram(handler: (datagram: string) => boolean): void;
    /** Sends a datagram to an address. */
    send(address: string, datagram: string): void;
    /** Sets a function whose result overrides parts of {@link state} at each heartbeat. */
    overrideState(describe: () => Partial<PeerState>): void;
    /** Sets what its heartbeats say of the configuration, and the listener for what peers say. */
    tellConfiguration(
        tell: () => KnownConfiguration | undefined,
        listen: (known: KnownConfiguration) => void,
    ): void;
    /** When the store last confirmed the newest configuration to it, on the group's clock. */
    confirmedAt: number | undefined;
    /** The latest time as of which peers confirmed the configuration to it. */
    peerConfirmedAt: number;
    /** Its watch of a table, if a test sets one. */
    watch?: TableWatch;
    /** Whether it neither sends nor receives. */
    isDown: boolean;
    readonly startsAt: number;
    readonly received: Traffic;
    readonly sent: Traffic;
}

const heartbeatInterval = 200;
const table = "configurations";
const uuidLength = 36;

/** Gateways that exchange heartbeats over a simulated network with loss, delay and duplication, on a manual clock. */
export class SimulatedGroup {
    readonly clock = new ManualClock(1_000_000);
    readonly gateways: SimulatedGateway[] = [];
    largestDatagram = 0;
    /** Whether datagrams from one address to another are lost. */
    isCut: (from: SimulatedGateway, to: SimulatedGateway) => boolean = () => false;
    private readonly options: Required<SimulatedGroupOptions>;
    private readonly random: Random;
    private readonly inFlight = new Map<number, (() => void)[]>();
    private readonly byAddress = new Map<string, SimulatedGateway>();

    constructor(options: SimulatedGroupOptions = {}) {
        this.options = {
            dataCentres: 2,
            gatewaysEach: 2,
            seed: 1,
            loss: 0,
            duplicates: 0,
            maxDelay: 3,
            startSpread: 300,
            isFirstStart: false,
            firstAddress: 10,
            ...options,
        };
        this.random = seededRandom(this.options.seed);
        for (let dataCentre = 0; dataCentre < this.options.dataCentres; dataCentre++) {
            for (let index = 0; index < this.options.gatewaysEach; index++) {
                this.add(dataCentre, index);
            }
        }
        const { isFirstStart } = this.options;
        this.gateways.forEach((gateway, index) => this.introduce(gateway, isFirstStart ? index : undefined));
    }

    /** Adds a gateway. No gateway knows it yet, and it knows none until {@link SimulatedGroup.introduce}. */
    add(
        dataCentre: number,
        index: number,
        incarnation = `${this.random.next()}`.padEnd(uuidLength, "0"),
    ): SimulatedGateway {
        const address = `10.${dataCentre + 1}.${Math.floor(index / 200)}.${
            this.options.firstAddress + index % 200
        }:7340`;
        const name = `front-dc-${dataCentre}-${index}`;
        const dataCentreName = `dc-${dataCentre}`;
        let describe: () => Partial<PeerState> = () => ({});
        let handleOther: (datagram: string) => boolean = () => false;
        let tell: () => KnownConfiguration | undefined = () => undefined;
        let listen: (known: KnownConfiguration) => void = () => undefined;
        let listener: (others: GroupSums) => void = () => undefined;
        const gateway: SimulatedGateway = {
            name,
            onPeerSums: newListener => {
                listener = newListener;
            },
            onDatagram: handler => {
                handleOther = handler;
            },
            send: (to, datagram) => this.send(gateway, to, datagram),
            overrideState: describeNow => {
                describe = describeNow;
            },
            tellConfiguration: (newTell, newListen) => {
                tell = newTell;
                listen = newListen;
            },
            address,
            dataCentre: dataCentreName,
            size: new GroupSize(this.clock),
            issuerShare: new IssuerShare(this.clock),
            slotShare: new SlotShare(this.clock),
            state: {
                suspects: [],
                slowTargets: {},
                chainLoads: {},
                crashes: {},
                partCrashes: {},
                safeRuns: {},
                limits: {},
                mayTakeDuty: true,
            },
            confirmedAt: undefined,
            peerConfirmedAt: -Infinity,
            isDown: false,
            startsAt: this.clock.now() + Math.floor(this.random.next() * this.options.startSpread),
            received: { messages: 0, bytes: 0 },
            sent: { messages: 0, bytes: 0 },
            exchange: new PeerExchange({
                clock: this.clock,
                process: name,
                incarnation,
                own: { address, dataCentre: dataCentreName },
                logger: silentLogs().peers,
                send: (to, datagram) => this.send(gateway, to, datagram),
                describe: () => ({ ...gateway.state, ...describe() }),
                words: () => this.describeTables(gateway),
                knownConfiguration: () => tell(),
                onKnownConfiguration: known => listen(known),
                onTableStatus: (name, tableStatus, after) =>
                    name === table ? recordConfirmation(gateway, tableStatus, after) : undefined,
                onOther: datagram => handleOther(datagram),
                onSums: others => {
                    const all = others.members + 1;
                    gateway.size.record(all);
                    gateway.issuerShare.record({ dataCentre: gateway.exchange.localMembers, all });
                    gateway.slotShare.record({ dataCentre: gateway.exchange.dataCentreMembers, all });
                    listener(others);
                },
            }),
        };
        this.gateways.push(gateway);
        this.byAddress.set(address, gateway);
        return gateway;
    }

    /** Makes the first `count` gateways known to a gateway, as the store's table of members does. */
    introduce({ exchange, size, issuerShare, slotShare }: SimulatedGateway, count = this.gateways.length): void {
        this.gateways.slice(0, count).forEach(({ address, dataCentre }) => exchange.addMember({ address, dataCentre }));
        size.join(exchange.knownMembers + 1);
        issuerShare.join(exchange.knownCounts);
        slotShare.join(exchange.knownCounts);
    }

    get runningGateways(): SimulatedGateway[] {
        return this.gateways.filter(gateway => !gateway.isDown && this.clock.now() >= gateway.startsAt);
    }

    /**
     * Advances the clock and delivers datagrams and heartbeats.
     *
     * @param check - Called every 100 ms.
     */
    run(duration: number, check: () => void = () => undefined): void {
        for (let left = duration; left > 0; left--) {
            this.clock.advance(1);
            const now = this.clock.now();
            this.inFlight.get(now)?.forEach(deliver => deliver());
            this.inFlight.delete(now);
            this.runningGateways
                .filter(({ startsAt }) => (now - startsAt) % heartbeatInterval === 0)
                .forEach(({ exchange }) => exchange.sendHeartbeats());
            if (now % 100 === 0) {
                check();
            }
        }
    }

    /** Like {@link SimulatedGroup.run}, but lets pending promises settle every 10 ms. */
    async runAsync(duration: number, check?: () => void): Promise<void> {
        const step = 10;
        for (let left = duration; left > 0; left -= step) {
            this.run(Math.min(step, left), check);
            await new Promise(resolve => void setImmediate(resolve));
        }
    }

    /** Resets the traffic counters. */
    resetTraffic(): void {
        for (const { received, sent } of this.gateways) {
            Object.assign(received, { messages: 0, bytes: 0 });
            Object.assign(sent, { messages: 0, bytes: 0 });
        }
    }

    private describeTables({ confirmedAt, peerConfirmedAt, watch }: SimulatedGateway): TableStatuses {
        if (watch !== undefined) {
            return watch.status === undefined ? {} : { [table]: watch.status };
        }
        const newest = Math.max(confirmedAt ?? -Infinity, peerConfirmedAt);
        return newest === -Infinity
            ? {}
            : {
                [table]: { version: 1, seen: 1, age: this.clock.now() - newest },
                servers: { version: 4_000_000, seen: 4_000_000, age: 1_000 },
            };
    }

    private send(from: SimulatedGateway, to: string, datagram: string): void {
        const receiver = this.byAddress.get(to);
        this.largestDatagram = Math.max(this.largestDatagram, datagram.length);
        count(from.sent, datagram);
        const { loss, duplicates, maxDelay } = this.options;
        if (receiver === undefined || this.isCut(from, receiver) || this.random.next() < loss) {
            return;
        }
        const copies = this.random.next() < duplicates ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            const due = Math.floor(this.clock.now()) + 1 + Math.floor(this.random.next() * maxDelay);
            const deliver = () => {
                if (!receiver.isDown && this.clock.now() >= receiver.startsAt) {
                    count(receiver.received, datagram);
                    receiver.exchange.receive(datagram);
                }
            };
            this.inFlight.set(due, [...this.inFlight.get(due) ?? [], deliver]);
        }
    }
}

function recordConfirmation(gateway: SimulatedGateway, tableStatus: TableStatus, after: Moment): void {
    gateway.watch?.applyPeerStatus(tableStatus, after);
    gateway.peerConfirmedAt = Math.max(gateway.peerConfirmedAt, after.now - tableStatus.age);
}

function count(traffic: Traffic, datagram: string): void {
    traffic.messages++;
    traffic.bytes += datagram.length;
}
