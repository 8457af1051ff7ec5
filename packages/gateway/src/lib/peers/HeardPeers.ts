import { type Clock } from "@waxwingspar/utils";
import { type Moment } from "../Moment.js";
import { type PeerState } from "./PeerGroup.js";

/** A peer that was heard of late. */
export interface Peer {
    readonly process: string;
    readonly incarnation: string;
    readonly state: PeerState;
    /** On this process's clock. */
    readonly heardAt: number;
    /** On the peer's clocks. */
    readonly sent: Moment;
}

/** Milliseconds without a heartbeat after which a peer counts as gone: several lost datagrams in a row. */
const peerTimeout = 1_000;

/** What the last heartbeat of each peer said, and for how long that may be believed. */
export class HeardPeers {
    private readonly peers = new Map<string, Peer>();

    constructor(private readonly clock: Clock) {}

    /**
     * Takes a heartbeat. A datagram that an earlier one overtook says what no longer holds, and is not taken.
     *
     * @returns "new" for the first one of a start of the peer, "late" for one that was overtaken.
     */
    hear({ process, incarnation, state, sent }: Omit<Peer, "heardAt">): "new" | "known" | "late" {
        const known = this.peers.get(process);
        const isKnown = known?.incarnation === incarnation;
        if (isKnown && sent.now < known.sent.now) {
            return "late";
        }
        this.peers.set(process, { process, incarnation, state, sent, heardAt: this.clock.now() });
        return isKnown ? "known" : "new";
    }

    /** Peers that were heard of within the timeout. */
    alive(): Peer[] {
        const bound = this.clock.now() - peerTimeout;
        return [...this.peers.values()].filter(({ heardAt }) => heardAt >= bound);
    }

    /**
     * Milliseconds since the store last confirmed the configuration of any living peer. What a peer said of it gets older
     * like the peer's word itself.
     */
    get confirmationAge(): number {
        const now = this.clock.now();
        const ages = this.alive().map(({ state, heardAt }) => (state.confirmationAge ?? Infinity) + now - heardAt);
        return Math.min(Infinity, ...ages);
    }
}
