import { type Address } from "@waxwingspar/transport";
import { type Clock, type Failure, type Outcome, type Random, requestCodes } from "@waxwingspar/utils";
import { type Member } from "../membership/Member.js";
import { type Membership } from "../membership/Membership.js";
import { type PeerState } from "./ChangeClient.js";
import { chooseParents } from "./chooseParents.js";

const avoidFor = 5000;
const avoidNearFor = 1000;
const nearFailureLimit = 3;

/** Someone to learn from: a member, or an address of which nothing else is known. @internal */
export type Parent = Address & Partial<Pick<Member, "process" | "dataCentre">>;

/** @internal */
export interface ParentSelectorOptions {
    readonly membership: Membership;
    readonly clock: Clock;
    readonly random: Random;
    /** Addresses to ask while the membership is empty. */
    readonly seeds?: readonly Address[];
    /** How many processes of each data centre read the store. */
    readonly readers: number;
    /** How many processes are meant to learn from one. */
    readonly fanOut: number;
    /** The age from which a parent counts as lagging, in milliseconds. */
    readonly lagLimit: number;
}

/**
 * Selects whom a process asks for new revisions, and avoids for a time those that failed or lag behind.
 *
 * @internal
 */
export class ParentSelector {
    private readonly avoided = new Map<string, number>();
    private nearFailures = 0;

    constructor(private readonly options: ParentSelectorOptions) {}

    /** The first parent that is not avoided, else the one avoided for the longest time. */
    pick(): Parent | undefined {
        const parents = this.list();
        const until = (parent: Parent) => Math.max(...avoidKeys(parent).map(key => this.avoided.get(key) ?? 0));
        const now = this.options.clock.now();
        return parents.find(parent => until(parent) <= now) ?? parents.sort((a, b) => until(a) - until(b))[0];
    }

    /** All parents, those to ask first in front. */
    list(): Parent[] {
        const { membership, readers, fanOut, seeds = [] } = this.options;
        const { dataCentre, process } = membership.self;
        const remote = this.remoteReaders(readers);
        const ranked = membership.ranked(dataCentre);
        const chosen = chooseParents({ self: process, ranked, readers, fanOut, remote });
        return chosen.length > 0 ? chosen : [...seeds];
    }

    /** Some readers of each other data centre. */
    remoteReaders(count: number): Member[] {
        const { membership } = this.options;
        const centres = membership.dataCentres().filter(centre => centre !== membership.self.dataCentre);
        return centres.flatMap(centre => membership.readers(centre).slice(0, count));
    }

    /** The readers of the own data centre. */
    ownReaders(): Member[] {
        const { membership } = this.options;
        return membership.readers(membership.self.dataCentre);
    }

    /** Takes what came of asking a parent. */
    note(parent: Parent, answer: Outcome<PeerState>, reader: boolean): void {
        if (answer.isErr) {
            this.avoid(parent);
            this.suspect(parent, answer.error);
            this.avoidCentre(parent);
        }
        else if (reader || answer.value.age > this.options.lagLimit) {
            // A reader compares itself with one peer after another; others leave a parent that lags behind the store.
            this.avoid(parent);
        }
    }

    private suspect(parent: Parent, { code }: Failure): void {
        if (parent.process !== undefined && code !== requestCodes.overloaded) {
            this.options.membership.sawFailure(parent.process);
        }
    }

    private avoid(parent: Parent): void {
        this.avoided.set(keyOf(parent), this.options.clock.now() + this.jitter(avoidFor));
    }

    /**
     * When one process of another data centre does not answer, likely none does, and the near ones are asked first. When
     * several near ones do not, the own data centre may just be starting, and the others are asked first.
     */
    private avoidCentre({ dataCentre }: Parent): void {
        if (dataCentre === undefined) {
            return;
        }
        const near = dataCentre === this.options.membership.self.dataCentre;
        this.nearFailures = near ? this.nearFailures + 1 : this.nearFailures;
        if (!near || this.nearFailures >= nearFailureLimit) {
            this.nearFailures = 0;
            const time = near ? avoidNearFor : avoidFor;
            this.avoided.set(centreKey(dataCentre), this.options.clock.now() + this.jitter(time));
        }
    }

    private jitter(duration: number): number {
        return duration * (0.8 + 0.4 * this.options.random.next());
    }
}

/** A name for the parent, the same whoever told of it. @internal */
export function keyOf({ host, port }: Address): string {
    return `${host} ${port}`;
}

function avoidKeys(parent: Parent): string[] {
    return parent.dataCentre === undefined ? [keyOf(parent)] : [keyOf(parent), centreKey(parent.dataCentre)];
}

function centreKey(dataCentre: string): string {
    return `data centre ${dataCentre}`;
}
