import { type Clock } from "@waxwingspar/utils";
import { type Heartbeat } from "./heartbeat.js";

/** The last heartbeat of a peer. */
export interface Peer extends Heartbeat {
    /** When it was received, on this process's clock. */
    readonly receivedAt: number;
}

/** Milliseconds without a heartbeat after which a peer counts as failed: several consecutive losses. */
export const peerTimeout = 1_000;

/** The last heartbeat of each peer that sends to this process. It is valid until the peer times out. */
export class RecentPeers {
    private readonly peers = new Map<string, Peer>();

    constructor(private readonly clock: Clock) {}

    /**
     * Stores a heartbeat, unless it is a duplicate or a newer one has already arrived.
     *
     * @returns "new" for the first heartbeat of an incarnation of the peer, "late" for one that was ignored.
     */
    receive(heartbeat: Heartbeat): "new" | "known" | "late" {
        const { process, incarnation, sequence } = heartbeat;
        const known = this.peers.get(process);
        const isKnown = known?.incarnation === incarnation;
        if (isKnown && sequence <= known.sequence) {
            return "late";
        }
        this.peers.set(process, { ...heartbeat, receivedAt: this.clock.now() });
        return isKnown ? "known" : "new";
    }

    get(process: string): Peer | undefined {
        const peer = this.peers.get(process);
        return peer !== undefined && this.isFresh(peer) ? peer : undefined;
    }

    /** Peers whose last heartbeat arrived within the timeout. */
    alive(): Peer[] {
        return [...this.peers.values()].filter(peer => this.isFresh(peer));
    }

    /** Removes peers that timed out: hosts are replaced continually, and their names are not reused. */
    removeExpired(): void {
        for (const [process, peer] of this.peers) {
            if (!this.isFresh(peer)) {
                this.peers.delete(process);
            }
        }
    }

    private isFresh({ receivedAt }: Peer): boolean {
        return receivedAt >= this.clock.now() - peerTimeout;
    }
}
