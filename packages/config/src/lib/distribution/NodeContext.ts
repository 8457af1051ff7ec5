import { type Address, type LinkPool } from "@waxwingspar/transport";
import { type Clock, type Outcome } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { ListHistory } from "../membership/ListHistory.js";
import { type Membership } from "../membership/Membership.js";
import { type RevisionState } from "../revisions/RevisionState.js";
import { Signal } from "./Signal.js";

/**
 * Calls an RPC method of the process at an address.
 *
 * @public
 */
export type PeerCaller = (
    address: Address,
    method: string,
    params: unknown,
    timeout: number,
) => Promise<Outcome<unknown>>;

/**
 * Calls peers over a pool of links, and tells the membership who was found where.
 *
 * @public
 */
export function callByPool(pool: LinkPool, membership: Membership): PeerCaller {
    pool.onOpen((link, address) => membership.sawHello(link.peer, address));
    return async (address, method, params, timeout) => {
        const link = await pool.connect(address);
        return link.isErr ? Result.err(link.error) : link.value.request(method, params, timeout);
    };
}

/** What the parts of one configuration node share. @internal */
export class NodeContext {
    readonly lists = new ListHistory();
    /** Fires when there is something new for those who wait. */
    readonly signal: Signal;
    private syncedAt = Number.NEGATIVE_INFINITY;

    constructor(readonly clock: Clock, readonly state: RevisionState, readonly membership: Membership) {
        this.signal = new Signal(clock);
        state.onChange(() => this.signal.notify());
    }

    /** Milliseconds since this process was in step with the store, by whatever path; infinite before. */
    get age(): number {
        return this.clock.now() - this.syncedAt;
    }

    /** Notes that everything the store held some milliseconds ago is in force here. */
    synced(age: number): void {
        this.syncedAt = Math.max(this.syncedAt, this.clock.now() - age);
    }

    /** Takes a list that was read some milliseconds ago. */
    takeList(list: Parameters<Membership["updateList"]>[0], age: number): void {
        if (age >= this.membership.listAge) {
            return;
        }
        if (this.lists.update(list) || !Number.isFinite(this.membership.listAge)) {
            this.membership.updateList(list, age);
            this.signal.notify();
        }
        else {
            this.membership.confirmList(age);
        }
    }
}
