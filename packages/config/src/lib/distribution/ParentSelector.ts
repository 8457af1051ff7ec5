import { type Address } from "@waxwingspar/transport";
import { type Clock, type Failure, type Outcome, type Random, requestCodes } from "@waxwingspar/utils";
import { type Member } from "../membership/Member.js";
import { type Membership } from "../membership/Membership.js";
import { type PeerState } from "./ChangeClient.js";
import { chooseParents } from "./chooseParents.js";

/** Milliseconds for which a failed or lagging parent, or another data centre, is avoided. */
const avoidDuration = 5000;
/** Milliseconds for which the own data centre is avoided. */
const avoidOwnCentreDuration = 1000;
/** The number of failed requests to the own data centre after which it is avoided. */
const ownCentreFailureLimit = 3;

/** A process to fetch changes from: a member, or only an address. @internal */
export type Parent = Address & Partial<Pick<Member, "process" | "dataCentre">>;

/** @internal */
export interface ParentSelectorOptions {
    readonly membership: Membership;
    readonly clock: Clock;
    readonly random: Random;
    /** Addresses to use while the membership is empty. */
    readonly seeds?: readonly Address[];
    /** The number of processes of each data centre that read the store. */
    readonly readers: number;
    /** The intended number of children of one process. */
    readonly fanOut: number;
    /** The age above which a parent counts as lagging, in milliseconds. */
    readonly lagLimit: number;
}

/**
 * Selects the parent from which a process fetches new revisions. Parents that failed or lag behind are avoided for some
 * time.
 *
 * @internal
 */
export class ParentSelector {
    private readonly avoided = new Map<string, number>();
    private ownCentreFailures = 0;

    constructor(private readonly options: ParentSelectorOptions) {}

    /** Returns the first parent that is not avoided, or else the one with the shortest remaining avoidance. */
    pick(): Parent | undefined {
        const parents = this.list();
        const until = (parent: Parent) => Math.max(...avoidKeys(parent).map(key => this.avoided.get(key) ?? 0));
        const now = this.options.clock.now();
        return parents.find(parent => until(parent) <= now) ?? parents.sort((a, b) => until(a) - until(b))[0];
    }

    /** Lists all possible parents, the preferred ones first. */
    list(): Parent[] {
        const { membership, readers, fanOut, seeds = [] } = this.options;
        const { dataCentre, process } = membership.self;
        const remote = this.remoteReaders(readers);
        const ranked = membership.ranked(dataCentre);
        const chosen = chooseParents({ self: process, ranked, readers, fanOut, remote });
        return chosen.length > 0 ? chosen : [...seeds];
    }

    /** Returns up to `count` readers of each other data centre. */
    remoteReaders(count: number): Member[] {
        const { membership } = this.options;
        const centres = membership.dataCentres().filter(centre => centre !== membership.self.dataCentre);
        return centres.flatMap(centre => membership.readers(centre).slice(0, count));
    }

    /** Returns the readers of the own data centre. */
    ownReaders(): Member[] {
        const { membership } = this.options;
        return membership.readers(membership.self.dataCentre);
    }

    /** Records the result of a request to a parent. */
    recordResult(parent: Parent, answer: Outcome<PeerState>, reader: boolean): void {
        if (answer.isErr) {
            this.avoid(parent);
            this.suspect(parent, answer.error);
            this.avoidCentre(parent);
        }
        else if (reader || answer.value.age > this.options.lagLimit) {
            // A reader rotates over its peers to compare revisions; other processes switch away from a lagging parent.
            this.avoid(parent);
        }
    }

    private suspect(parent: Parent, { code }: Failure): void {
        if (parent.process !== undefined && code !== requestCodes.overloaded) {
            this.options.membership.recordFailure(parent.process);
        }
    }

    private avoid(parent: Parent): void {
        this.avoided.set(addressKey(parent), this.options.clock.now() + this.jitter(avoidDuration));
    }

    /**
     * If one process of another data centre fails, the whole data centre is probably unreachable, so it is avoided. If
     * several processes of the own data centre fail, the data centre may still be starting, so it is avoided for a
     * shorter time in favour of the others.
     */
    private avoidCentre({ dataCentre }: Parent): void {
        if (dataCentre === undefined) {
            return;
        }
        const near = dataCentre === this.options.membership.self.dataCentre;
        this.ownCentreFailures = near ? this.ownCentreFailures + 1 : this.ownCentreFailures;
        if (!near || this.ownCentreFailures >= ownCentreFailureLimit) {
            this.ownCentreFailures = 0;
            const time = near ? avoidOwnCentreDuration : avoidDuration;
            this.avoided.set(centreKey(dataCentre), this.options.clock.now() + this.jitter(time));
        }
    }

    private jitter(duration: number): number {
        return duration * (0.8 + 0.4 * this.options.random.next());
    }
}

/** A key for an address, regardless of whether it came from the membership or the seeds. @internal */
export function addressKey({ host, port }: Address): string {
    return `${host} ${port}`;
}

function avoidKeys(parent: Parent): string[] {
    return parent.dataCentre === undefined ? [addressKey(parent)] : [addressKey(parent), centreKey(parent.dataCentre)];
}

function centreKey(dataCentre: string): string {
    return `data centre ${dataCentre}`;
}
