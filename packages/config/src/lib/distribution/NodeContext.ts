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
 * Creates a caller that uses a pool of links and records in the membership which process answered at which address.
 *
 * @public
 */
export function createPoolCaller(pool: LinkPool, membership: Membership): PeerCaller {
    pool.onOpen((link, address) => membership.recordHello(link.peer, address));
    return async (address, method, params, timeout) => {
        const link = await pool.connect(address);
        return link.isErr ? Result.err(link.error) : link.value.request(method, params, timeout);
    };
}

/** The state that the parts of a configuration node share. @internal */
export class NodeContext {
    readonly lists = new ListHistory();
    /** Notified when the configuration or the live list has changed. */
    readonly signal: Signal;
    private syncedAt = Number.NEGATIVE_INFINITY;

    constructor(readonly clock: Clock, readonly state: RevisionState, readonly membership: Membership) {
        this.signal = new Signal(clock);
        state.onChange(() => this.signal.notify());
    }

    /** Milliseconds since this process was last synchronised with the store, directly or through peers; or infinite. */
    get age(): number {
        return this.clock.now() - this.syncedAt;
    }

    /** Records that everything the store held `age` milliseconds ago is in force in this process. */
    markSynced(age: number): void {
        this.syncedAt = Math.max(this.syncedAt, this.clock.now() - age);
    }

    /** Applies a live list that was read `age` milliseconds ago, unless a newer one is known. */
    applyList(list: Parameters<Membership["updateList"]>[0], age: number): void {
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
