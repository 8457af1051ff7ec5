import { type Clock } from "@waxwingspar/utils";
import { LRUCache } from "lru-cache";
import { EventRate } from "./EventRate.js";
import { type SlotRequest } from "./SlotRequest.js";

/** Options of {@link StarvationFloors}. */
export interface StarvationFloorsOptions {
    readonly clock: Clock;
    /**
     * Share of the granted share of all requests below which a kind or an organisation is starved. Default 0.4: a kind
     * is to be served at least a quarter as often as all requests, also by chance in a few seconds.
     */
    readonly share?: number;
    /** Time constant of the averages, in milliseconds. Default 4,000. */
    readonly timeConstant?: number;
    /**
     * Number of grants of which at most one goes to a starved request. Default 4, so that a flood of starved kinds never
     * takes more than a quarter of the slots from more urgent ones.
     */
    readonly period?: number;
}

type StarvedRequest = Pick<SlotRequest, "kind" | "organisation">;

/** What one kind or organisation asked for and got lately. */
class GrantedShare {
    readonly requested: EventRate;
    readonly granted: EventRate;

    constructor(options: { readonly clock: Clock; readonly timeConstant: number; }) {
        this.requested = new EventRate(options);
        this.granted = new EventRate(options);
    }
}

/** Maximum number of kinds and of organisations that are remembered. */
const maxRemembered = 2_000;

/**
 * Finds the kinds and organisations that get too small a share of the slots, and limits how often they go first. It
 * handles floods of urgent requests, under which strict order by rank would serve nothing else for as long as the flood
 * lasts.
 *
 * Shares are of callers, not of attempts: only the first attempt of a caller counts as requested. Otherwise the returns
 * of the refused, who are mostly of the least urgent kind, would raise what that kind is due.
 */
export class StarvationFloors {
    private readonly options: Required<StarvationFloorsOptions>;
    private readonly all: GrantedShare;
    private readonly kinds = new LRUCache<string, GrantedShare>({ max: maxRemembered });
    private readonly organisations = new LRUCache<string, GrantedShare>({ max: maxRemembered });
    private grantsSinceFloor: number;

    constructor(options: StarvationFloorsOptions) {
        this.options = { share: 0.4, timeConstant: 4_000, period: 4, ...options };
        this.all = new GrantedShare(this.options);
        this.grantsSinceFloor = this.options.period;
    }

    /** Number of grants of which at most one goes to a starved request. */
    get period(): number {
        return this.options.period;
    }

    /** Whether the next slot may go to a starved request out of turn. */
    get isDue(): boolean {
        return this.grantsSinceFloor >= this.options.period - 1;
    }

    /** Records the first attempt of a caller. */
    noteRequested(request: StarvedRequest): void {
        this.sharesOf(request).forEach(share => share.requested.add());
    }

    /** @param isOutOfTurn - Whether the request got the slot because it was starved. */
    noteGranted(request: StarvedRequest, isOutOfTurn: boolean): void {
        this.sharesOf(request).forEach(share => share.granted.add());
        this.grantsSinceFloor = isOutOfTurn ? 0 : this.grantsSinceFloor + 1;
    }

    /** Whether the kind or the organisation of a request gets less than its floor. */
    isStarved({ kind, organisation }: StarvedRequest): boolean {
        const requested = this.all.requested.recent;
        if (requested === 0) {
            return false;
        }
        const due = this.options.share * Math.min(1, this.all.granted.recent / requested);
        return [this.kinds.get(kind), this.organisations.get(organisation)]
            .some(share => share !== undefined && share.granted.recent < due * share.requested.recent);
    }

    private sharesOf({ kind, organisation }: StarvedRequest): readonly GrantedShare[] {
        return [this.all, this.shareOf(this.kinds, kind), this.shareOf(this.organisations, organisation)];
    }

    private shareOf(shares: LRUCache<string, GrantedShare>, name: string): GrantedShare {
        let share = shares.get(name);
        if (share === undefined) {
            share = new GrantedShare(this.options);
            shares.set(name, share);
        }
        return share;
    }
}
