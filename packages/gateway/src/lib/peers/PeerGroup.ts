import { type Clock } from "@waxwingspar/utils";
import { createSocket, type Socket } from "node:dgram";
import { type Logger } from "pino";
import * as z from "zod/mini";
import { type Address } from "../GatewaySettings.js";
import { currentMoment, type Moment } from "../Moment.js";
import { type Store, type WriteResult } from "../store/Store.js";
import { HeardPeers, type Peer } from "./HeardPeers.js";

/** What a gateway tells its peers of itself, several times a second. */
export const peerStateSchema = z.object({
    /** Ids of targets that seem lost to it. */
    suspects: z.array(z.string()),
    /** Targets whose own reports to it say that they are slow, by id. */
    slowTargets: z.record(z.string(), z.number()),
    /** Requests of this process in flight, by the first target of their chain. */
    chainLoads: z.record(z.string(), z.number()),
    /** The term under which it holds the placement duty; undefined when it does not, or the store has not confirmed it. */
    dutyTerm: z.optional(z.number()),
    /** Whether it could take the duty: it reaches the store, and is not stopping. */
    mayTakeDuty: z.boolean(),
    configurationVersion: z.optional(z.number()),
    /** Milliseconds since the store last confirmed that version as the newest. Absent where it never did. */
    confirmationAge: z.optional(z.nullable(z.number())),
});

const momentSchema = z.object({ now: z.number(), date: z.number() });

/** @public */
export type PeerState = z.infer<typeof peerStateSchema>;

const heartbeatSchema = z.object({
    process: z.string(),
    incarnation: z.string(),
    /** Addresses of all gateways that the sender knows, so that the group grows together. */
    known: z.array(z.string()),
    state: peerStateSchema,
    /** When this was sent, on the sender's clocks. */
    sent: momentSchema,
    /** By incarnation of a peer: the newest `sent` that came from it. So a peer learns that this was said after that. */
    echoes: z.record(z.string(), momentSchema),
});
const messageSchema = z.object({
    jsonrpc: z.literal("2.0"),
    method: z.literal("heartbeat"),
    params: heartbeatSchema,
});
const memberSchema = z.object({ host: z.string(), port: z.number() });

/** Options of {@link PeerGroup}. */
export interface PeerGroupOptions {
    readonly clock: Clock;
    readonly store: Store;
    readonly process: string;
    readonly incarnation: string;
    readonly address: Address;
    readonly logger: Logger;
    readonly describe: () => PeerState;
    /** A peer described itself at some time after the given moment. */
    readonly onHeard?: (state: PeerState, after: Moment) => void;
}

const membersTable = "gateways";
/** Milliseconds between two heartbeats. */
const heartbeatInterval = 200;
/**
 * In a large group most heartbeats leave out what grows with it, the members and the echoes: with 23 gateways all of them whole
 * were 3 kB each, 0.030 of the worth of a quiet day in bytes between data centres (reckoned from the price list). A peer's word on the configuration
 * counts from the echo, so it gets older by some heartbeats there.
 */
const largeGroup = 8;
const wholeHeartbeatEvery = 4;
/** Milliseconds after which an address that never answers is forgotten, until a heartbeat or the store names it again. */
const addressTimeout = 30_000;
/** Milliseconds between two tries to enter the table of members. */
const joinRetry = 500;
/** The size of the group until the first heartbeats came. */
const unknownGroupSize = 8;

/**
 * The gateways of a site as one of them sees them. They find each other through a table of the store, once at the start,
 * and then tell each other by datagrams what they believe.
 */
export class PeerGroup {
    private readonly socket: Socket = createSocket("udp4");
    /** Known addresses, and when each was last named or heard of. */
    private readonly addresses = new Map<string, number>();
    private readonly peers: HeardPeers;
    private isStopped = false;
    private hasJoined = false;
    private beats = 0;

    constructor(private readonly options: PeerGroupOptions) {
        this.peers = new HeardPeers(options.clock);
    }

    /** Gateways that live, this one included; a cautious guess before the group is known. */
    get groupSize(): number {
        return this.hasJoined ? this.alive().length + 1 : unknownGroupSize;
    }

    /** Requests of all living peers in flight on chains that begin at a target. */
    chainLoad(headId: string): number {
        return this.alive().reduce((sum, { state }) => sum + (state.chainLoads[headId] ?? 0), 0);
    }

    /** Peers that were heard of within the timeout. */
    alive(): Peer[] {
        return this.peers.alive();
    }

    /** Milliseconds since the store last confirmed the configuration of any living peer. */
    get confirmationAge(): number {
        return this.peers.confirmationAge;
    }

    async start(): Promise<void> {
        const { address, logger } = this.options;
        this.socket.on("message", data => this.receive(data));
        this.socket.on("error", (error: Error) => logger.warn({ error: error.message }, "socket failed"));
        await new Promise<void>(resolve => this.socket.bind(address.port, address.host, resolve));
        logger.info({ address }, "listening");
        this.beat();
        void this.join();
    }

    stop(): void {
        this.isStopped = true;
        this.socket.close();
    }

    /**
     * Enters this process in the table of members, and only then reads who else is there: of two that start together,
     * the later writer sees the earlier one, and its heartbeats tell the other.
     */
    private async join(): Promise<void> {
        const { store, clock, logger } = this.options;
        let expectedVersion = 0;
        while (!this.isStopped) {
            const written = await this.enter(expectedVersion);
            expectedVersion = written.kind === "conflict" ? written.rows[0]?.version ?? 0 : expectedVersion;
            const members = written.kind === "written" ? await store.read(membersTable) : undefined;
            if (members?.kind === "read") {
                members.rows.forEach(({ value }) => this.learnMember(value));
                this.hasJoined = true;
                logger.info({ members: this.addresses.size }, "joined");
                return;
            }
            await new Promise<void>(resolve => void clock.schedule(resolve, joinRetry));
        }
    }

    private enter(expectedVersion: number): Promise<WriteResult> {
        const { store, process, address } = this.options;
        return store.write({ table: membersTable, key: process, value: address, expectedVersion });
    }

    private learnMember(value: unknown): void {
        const member = memberSchema.safeParse(value);
        if (member.success) {
            this.learn(`${member.data.host}:${member.data.port}`);
        }
    }

    private learn(address: string): void {
        const own = `${this.options.address.host}:${this.options.address.port}`;
        if (address !== own && !this.addresses.has(address)) {
            this.addresses.set(address, this.options.clock.now());
        }
    }

    private beat(): void {
        if (this.isStopped) {
            return;
        }
        const { process, incarnation, address, describe, clock } = this.options;
        const bound = clock.now() - addressTimeout;
        for (const [peer, heardAt] of this.addresses) {
            if (heardAt < bound) {
                this.addresses.delete(peer);
            }
        }
        const isWhole = isWholeHeartbeat(this.beats++, this.addresses.size);
        const known = [`${address.host}:${address.port}`, ...isWhole ? this.addresses.keys() : []];
        const echoes = Object.fromEntries(isWhole ? this.alive().map(peer => [peer.incarnation, peer.sent]) : []);
        const sent = currentMoment(clock);
        const params = { process, incarnation, known, state: describe(), sent, echoes };
        const message = Buffer.from(JSON.stringify({ jsonrpc: "2.0", method: "heartbeat", params }));
        for (const peer of this.addresses.keys()) {
            const colon = peer.lastIndexOf(":");
            // A datagram that cannot be sent is lost like any other; the next one follows.
            this.socket.send(message, Number(peer.slice(colon + 1)), peer.slice(0, colon), error => {
                if (error !== null) {
                    this.options.logger.warn({ error: String(error), peer }, "send failed");
                }
            });
        }
        clock.schedule(() => this.beat(), heartbeatInterval);
    }

    private receive(data: Buffer): void {
        const message = parseMessage(data);
        if (message === undefined) {
            this.options.logger.warn({ bytes: data.length }, "unreadable datagram");
            return;
        }
        const { process, incarnation, known, state, sent, echoes } = message;
        const [sender] = known;
        const heardAt = this.options.clock.now();
        known.forEach(address => this.learn(address));
        if (sender !== undefined && this.addresses.has(sender)) {
            this.addresses.set(sender, heardAt);
        }
        const news = this.peers.hear({ process, incarnation, state, sent });
        if (news === "late") {
            return;
        }
        const echo = echoes[this.options.incarnation];
        if (echo !== undefined) {
            this.options.onHeard?.(state, echo);
        }
        if (news === "new") {
            this.options.logger.info({ peer: process, incarnation }, "heard of");
        }
    }
}

/** Whether a heartbeat of a group with so many peers names all of them, by the number of heartbeats before it. */
export function isWholeHeartbeat(beats: number, peers: number): boolean {
    return peers < largeGroup || beats % wholeHeartbeatEvery === 0;
}

function parseMessage(data: Buffer): z.infer<typeof heartbeatSchema> | undefined {
    try {
        return messageSchema.safeParse(JSON.parse(data.toString("utf8"))).data?.params;
    }
    catch {
        return undefined;
    }
}
