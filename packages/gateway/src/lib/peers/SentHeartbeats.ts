import { type Moment } from "../Moment.js";
import { type PeerState } from "./PeerState.js";

/** A heartbeat that this process sent. */
export interface SentHeartbeat {
    readonly sequence: number;
    readonly sent: Moment;
    readonly state: PeerState;
}

/** Maximum number of heartbeats to keep: six seconds of them. Echoes of older ones are too old to be useful. */
const maxRemembered = 30;

/** The last heartbeats of this process, to match the echoes in its peers' heartbeats. */
export class SentHeartbeats {
    private readonly recent: SentHeartbeat[] = [];

    add(heartbeat: SentHeartbeat): void {
        this.recent.push(heartbeat);
        if (this.recent.length > maxRemembered) {
            this.recent.shift();
        }
    }

    find(sequence: number): SentHeartbeat | undefined {
        return this.recent.find(sent => sent.sequence === sequence);
    }
}
