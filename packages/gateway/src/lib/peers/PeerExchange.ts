import { currentMoment } from "../Moment.js";
import { GroupMembers, type Member } from "./GroupMembers.js";
import {
    addSums,
    ageSums,
    emptySums,
    type GroupSums,
    largestSums,
    sumsOf,
    truncateState,
    truncateSums,
    withoutMember,
} from "./GroupSums.js";
import { type Heartbeat, readHeartbeat, writeHeartbeat } from "./heartbeat.js";
import { type GatewayCounts } from "./IssuerShare.js";
import { type PeerExchangeOptions } from "./PeerExchangeOptions.js";
import { type PeerState } from "./PeerState.js";
import { type Peer, RecentPeers } from "./RecentPeers.js";
import { SentHeartbeats } from "./SentHeartbeats.js";

/** One out of this number of unreadable datagrams is logged, starting with the first. */
const unreadableLogInterval = 100;

/** Number of heartbeats after the start in which a gateway introduces itself to gateways that joined earlier. */
const introductionHeartbeats = 6;
/** Number of gateways to which it introduces itself with each of these heartbeats. */
const introductionBatch = 10;
/**
 * Number of heartbeats between two probes that a relay sends to another member of its data centre. It lets partitions
 * that have relays of their own merge within a minute, and costs one message in ten seconds and five replies.
 */
const probeInterval = 50;
/** The same for members that were lost: groups that were cut have an issuer each until they hear from each other. */
const lostProbeInterval = 2;

/**
 * Exchanges heartbeats between gateways through relays. Each gateway reports its state to two relays of its data
 * centre. A relay adds the reports up, sends this sum to the relays of the other data centres, and sends the sum over
 * all data centres to the gateways that report to it. Thus a gateway sends and receives 10 messages a second whatever
 * the size of the group, and a relay 5 a second for each gateway of its data centre and each remote relay. A gateway
 * that receives a report acts as a relay, so that no agreement is needed when relays change.
 *
 * With direct exchange between all gateways, each of 68 gateways received 335 datagrams a second.
 */
export class PeerExchange {
    private readonly peers: RecentPeers;
    /** The last sums received from relays. A new relay uses them until other gateways report to it. */
    private readonly relayedSums: RecentPeers;
    private readonly members: GroupMembers;
    private readonly sent = new SentHeartbeats();
    private relays: readonly string[] = [];
    private sequence = 0;
    private unreadable = 0;
    private cachedOthers: GroupSums | undefined;
    /** By table, the latest moment to which any peer has confirmed its state, on the clock. */
    private readonly tableConfirmedAt = new Map<string, number>();

    constructor(private readonly options: PeerExchangeOptions) {
        const { clock, own } = options;
        this.peers = new RecentPeers(clock);
        this.relayedSums = new RecentPeers(clock);
        this.members = new GroupMembers({ clock, own });
    }

    /** The number of gateways known to this process, not counting itself. */
    get knownMembers(): number {
        return this.members.size;
    }

    /** The numbers of known gateways, including this one. */
    get knownCounts(): GatewayCounts {
        return { dataCentre: this.members.localSize + 1, all: this.members.size + 1 };
    }

    /** Whether a gateway of the own data centre is known at a host. */
    hasLocalHost(host: string): boolean {
        return this.members.hasLocalHost(host);
    }

    /** Whether no other gateway of the own data centre is alive, although some are known. */
    get isIsolated(): boolean {
        return this.members.isIsolated;
    }

    /** The number of gateways of the own data centre that are in contact, including this one. */
    get localMembers(): number {
        return this.reporters().length + 1;
    }

    /** The number of gateways of the own data centre as its relays know them; of all data centres if they don't tell. */
    get dataCentreMembers(): number {
        const told = this.localPeers().flatMap(({ local }) => local ?? []);
        const isUntold = told.length === 0 && !this.isRelay;
        return isUntold ? this.others.members + 1 : Math.max(this.localMembers, ...told);
    }

    /** Whether this process aggregates the reports of other gateways. */
    get isRelay(): boolean {
        return this.relays.includes(this.options.own.address) || this.reporters().length > 0;
    }

    /** The aggregated state of all other gateways, as known here. */
    get others(): GroupSums {
        this.cachedOthers ??= this.sumOthers();
        return this.cachedOthers;
    }

    /** Whether gateways that are not relays report to this process, and so depend on it to poll the store. */
    get hasFollowers(): boolean {
        return this.reporters().some(({ address }) => !this.relays.includes(address));
    }

    /** Milliseconds since the latest moment to which any peer has confirmed the state of a table. */
    tableAge(table: string): number {
        return this.options.clock.now() - (this.tableConfirmedAt.get(table) ?? -Infinity);
    }

    /**
     * The address of the gateway that issues permits for targets of a data centre: its first live gateway by address, or
     * that of the first data centre by name that has one. A relay that is skipped after a silence is live again with its
     * first heartbeat, since it takes itself for the issuer as well.
     */
    findIssuer(dataCentre: string): string {
        const { own } = this.options;
        const findFirst = (name: string) =>
            name === own.dataCentre ? this.members.localSenders[0] : this.members.aliveIn(name)[0];
        const others = [own.dataCentre, ...this.members.remoteDataCentres].sort();
        const issuers = [dataCentre, ...others].flatMap(name => findFirst(name) ?? []);
        return issuers[0] ?? own.address;
    }

    /** Adds a gateway that is listed in the store's table. */
    addMember(member: Member): void {
        this.members.add(member);
    }

    /** Sends the next heartbeats. */
    sendHeartbeats(): void {
        const { clock, process, describe } = this.options;
        this.peers.removeExpired();
        this.relayedSums.removeExpired();
        this.members.removeExpired();
        this.chooseRelays();
        const state = truncateState(describe());
        this.sent.add({ sequence: ++this.sequence, sent: currentMoment(clock), state });
        this.cachedOthers = undefined;
        if (this.isRelay) {
            const near = this.sumLocal(sumsOf(process, state));
            this.sendLocal(state, truncateSums(addSums([near, this.sumRemote()])));
            this.remoteRelays().forEach(address => this.send(address, { near: truncateSums(near) }));
            this.lostProbes().forEach(address => this.send(address, {}));
        }
        else {
            this.sendLocal(state);
            this.remoteRelaysToAnswer().forEach(address => this.send(address, {}));
        }
        this.options.onSums?.(this.others);
    }

    private chooseRelays(): void {
        const relays = this.members.chooseRelays();
        if (relays.join() !== this.relays.join()) {
            this.options.logger.info({ relays, before: this.relays }, "relays chosen");
        }
        this.relays = relays;
    }

    /**
     * Sends the own state to the relays, and the sum over all gateways to those that report to this process. Relays get
     * no sum, because they compute it themselves.
     */
    private sendLocal(state: PeerState, whole?: GroupSums): void {
        const reportedTo = new Set([...this.relays, ...this.localProbes()]);
        const addresses = new Set([...reportedTo, ...this.reporters().map(({ address }) => address)]);
        addresses.delete(this.options.own.address);
        for (const address of addresses) {
            this.send(address, reportedTo.has(address) ? { state } : { whole, local: this.localMembers });
        }
    }

    /** Handles a received datagram. */
    receive(datagram: string): void {
        const { own, logger } = this.options;
        const heartbeat = readHeartbeat(datagram);
        if (heartbeat === undefined) {
            if (this.options.onOther?.(datagram) === true) {
                return;
            }
            if (this.unreadable++ % unreadableLogInterval === 0) {
                logger.warn({ bytes: datagram.length, unreadable: this.unreadable }, "unreadable datagram");
            }
            return;
        }
        if (heartbeat.address === own.address) {
            return;
        }
        const relation = this.peers.receive(heartbeat);
        if (relation === "late") {
            return;
        }
        if (relation === "new") {
            const { process: peer, incarnation, dataCentre } = heartbeat;
            logger.info({ peer, incarnation, dataCentre }, "peer discovered");
        }
        if (heartbeat.whole !== undefined) {
            this.relayedSums.receive(heartbeat);
        }
        this.members.markHeard(heartbeat);
        this.addReportedMembers(heartbeat);
        this.cachedOthers = undefined;
        if (heartbeat.configuration !== undefined) {
            this.options.onKnownConfiguration?.(heartbeat.configuration);
        }
        this.applyTableStatuses(heartbeat);
    }

    /**
     * Adds the members that a relay reports: those of its own data centre and, if it is the relay of this process,
     * those of other data centres as well. Relays do not accept third-party members from each other, since two of them
     * could keep reporting a failed gateway to each other forever.
     */
    private addReportedMembers({ dataCentre: sender, members, whole }: Heartbeat): void {
        for (const [dataCentre, addresses] of Object.entries(members)) {
            if (whole !== undefined || dataCentre === sender) {
                addresses.forEach(address => this.members.markReported({ address, dataCentre }));
            }
        }
    }

    /**
     * Applies the table states in a heartbeat. They count from when this process sent the heartbeat that the peer
     * echoes, since only that time is known for certain.
     */
    private applyTableStatuses({ words, echo, address, dataCentre }: Heartbeat): void {
        const echoed = this.echoed(echo);
        for (const [table, status] of Object.entries(words)) {
            const knownAt = this.options.clock.now() - status.age;
            this.tableConfirmedAt.set(table, Math.max(knownAt, this.tableConfirmedAt.get(table) ?? -Infinity));
            if (echoed !== undefined) {
                this.options.onTableStatus?.(table, status, echoed.sent, { address, dataCentre });
            }
        }
    }

    private echoed(echo: Heartbeat["echo"]): ReturnType<SentHeartbeats["find"]> {
        return echo?.incarnation === this.options.incarnation ? this.sent.find(echo.sequence) : undefined;
    }

    /** Peers of the own data centre that report their state to this process. */
    private reporters(): Peer[] {
        return this.localPeers().filter(({ state }) => state !== undefined);
    }

    private localPeers(): Peer[] {
        return this.peers.alive().filter(({ dataCentre }) => dataCentre === this.options.own.dataCentre);
    }

    private remotePeers(): Peer[] {
        return this.peers.alive().filter(({ dataCentre }) => dataCentre !== this.options.own.dataCentre);
    }

    /**
     * Members of the own data centre to probe: possible relays while none is known, and after the start all members
     * from the store's table once. Without these introductions, two groups of one data centre with relays of their own
     * never discovered each other, and took the placement duty from each other 150 times within 50 s of a simulated
     * day.
     */
    private localProbes(): readonly string[] {
        const { own } = this.options;
        if (this.sequence <= introductionHeartbeats) {
            return this.members.nextLocalProbes(introductionBatch);
        }
        if (this.isRelay && this.sequence % probeInterval === 0) {
            return this.members.nextLocalProbes(1);
        }
        return this.relays.some(address => address !== own.address) ? [] : this.members.nextLocalProbes();
    }

    /** Lost members to probe, without the own state: they may have another issuer, which must not count this process. */
    private lostProbes(): readonly string[] {
        const isDue = this.sequence > introductionHeartbeats && this.sequence % lostProbeInterval === 0;
        const isChosen = this.relays.includes(this.options.own.address);
        return isDue && isChosen ? this.members.nextLostProbes(this.reporters()) : [];
    }

    /**
     * Relays of the other data centres, known from their heartbeats or from reports. For a data centre from whose
     * relays no heartbeat arrives, members that may know its relays.
     */
    private remoteRelays(): string[] {
        const relays = this.remotePeers().filter(({ near }) => near !== undefined);
        const coveredDataCentres = new Set(relays.map(({ dataCentre }) => dataCentre));
        const others = this.members.remoteDataCentres.flatMap(dataCentre =>
            coveredDataCentres.has(dataCentre)
                ? this.members.aliveIn(dataCentre)
                : this.members.nextRemoteProbes(dataCentre)
        );
        return [...new Set([...relays.map(({ address }) => address), ...others])];
    }

    /** Relays of other data centres that address this process as a relay; the reply names the actual relays. */
    private remoteRelaysToAnswer(): string[] {
        return this.remotePeers().filter(({ near }) => near !== undefined).map(({ address }) => address);
    }

    /** The sum over the gateways of the own data centre that report to this process. */
    private sumLocal(self: GroupSums): GroupSums {
        const reports = this.reporters().flatMap(({ process, state, receivedAt }) =>
            state === undefined ? [] : this.aged(sumsOf(process, state), receivedAt)
        );
        return addSums([self, ...reports]);
    }

    /** The sum over the other data centres, with the sum of the relay that covers the most gateways for each. */
    private sumRemote(): GroupSums {
        const ofDataCentre = new Map<string, GroupSums>();
        for (const { dataCentre, near = emptySums, receivedAt } of this.remotePeers()) {
            const known = ofDataCentre.get(dataCentre) ?? emptySums;
            ofDataCentre.set(dataCentre, largestSums([known, this.aged(near, receivedAt)]));
        }
        return addSums([...ofDataCentre.values()]);
    }

    /** The sum over the other gateways: the one of this process or of a relay, whichever covers the most gateways. */
    private sumOthers(): GroupSums {
        const own = addSums([this.sumLocal(emptySums), this.sumRemote()]);
        const relayed = this.relayedSums.alive().sort((a, b) => b.receivedAt - a.receivedAt);
        return largestSums([own, ...relayed.map(digest => this.told(digest))]);
    }

    /** The sum that a relay sent, without the state of this process. */
    private told({ whole = emptySums, echo, receivedAt }: Peer): GroupSums {
        const own = echo?.isCounted === true ? this.echoed(echo) : undefined;
        return this.aged(own === undefined ? whole : withoutMember(whole, own.state), receivedAt);
    }

    private aged(sums: GroupSums, receivedAt: number): GroupSums {
        return ageSums(sums, this.options.clock.now() - receivedAt);
    }

    private send(address: string, parts: Pick<Heartbeat, "state" | "near" | "whole" | "local">): void {
        const { process, incarnation, own, words, knownConfiguration } = this.options;
        const receiver = this.peers.alive().find(peer => peer.address === address);
        const heartbeat: Heartbeat = {
            process,
            incarnation,
            address: own.address,
            dataCentre: own.dataCentre,
            sequence: this.sequence,
            echo: receiver === undefined ? undefined : {
                incarnation: receiver.incarnation,
                sequence: receiver.sequence,
                isCounted: parts.whole !== undefined && receiver.state !== undefined,
            },
            words: words(),
            configuration: knownConfiguration?.(),
            ...parts,
            members: this.membersFor(receiver),
        };
        this.options.send(address, writeHeartbeat(heartbeat));
    }

    /**
     * The members to report to a receiver. A relay reports gateways of its data centre, and to receivers there also the
     * relays of one other data centre, in rotation. Other gateways report only their relays, and only to other data
     * centres.
     */
    private membersFor(receiver: Peer | undefined): Record<string, string[]> {
        const { dataCentre } = this.options.own;
        const isElsewhere = receiver !== undefined && receiver.dataCentre !== dataCentre;
        if (!this.isRelay) {
            return isElsewhere ? { [dataCentre]: [...this.relays] } : {};
        }
        const others = this.members.remoteDataCentres;
        const other = isElsewhere ? undefined : others[this.sequence % Math.max(1, others.length)];
        return {
            [dataCentre]: [...this.members.localSenders],
            ...other === undefined ? {} : { [other]: [...this.members.aliveIn(other)] },
        };
    }
}
