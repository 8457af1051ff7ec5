import { type Clock } from "@waxwingspar/utils";

/** The address and the data centre of a gateway. */
export interface Member {
    /** Host and port of its heartbeats. */
    readonly address: string;
    readonly dataCentre: string;
}

interface KnownMember extends Member {
    readonly addedAt: number;
    /**
     * When its heartbeat was last received here, or another gateway last reported receiving one; -Infinity while it is
     * known from the store's table only.
     */
    aliveAt: number;
    /** When its heartbeat was last received here. */
    receivedAt: number;
    /** Since when it is a relay of this process; undefined while it is none. */
    relaySince: number | undefined;
    /** Until when it is not chosen as a relay, because its heartbeats were missing. */
    skippedUntil: number;
}

/** Options of {@link GroupMembers}. */
export interface GroupMembersOptions {
    readonly clock: Clock;
    readonly own: Member;
}

/** Number of relays of a data centre: if one fails, the other continues. */
const relayCount = 2;
/** Members of a data centre that its relays report: the relays themselves and their possible replacements. */
const reportedCount = 4;
/** Milliseconds for which a member counts as alive after it was reported: twenty heartbeats. */
const reportTimeout = 4_000;
/** Milliseconds without a heartbeat from a relay after which another one is chosen. */
const relayTimeout = 1_000;
/** Milliseconds for which an unresponsive relay is not chosen again. Other gateways stop reporting it earlier. */
const relaySkipTime = 6_000;
/** Number of members not known to be alive that are probed with each heartbeat. */
const probeCount = 2;
/** Milliseconds after which a member that no gateway reports is removed, because hosts are replaced continually. */
const retention = 30_000;
/** Members of each data centre that are never removed, so that it can be found again after any partition. */
const minRetained = 8;

/**
 * The gateways known to this process. Chooses the relays of its own data centre: the first live ones by address, so
 * that all gateways choose the same ones.
 */
export class GroupMembers {
    private readonly members = new Map<string, KnownMember>();
    /** How many members of each data centre have been probed so far. */
    private readonly probeTurns = new Map<string, number>();

    constructor(private readonly options: GroupMembersOptions) {}

    get size(): number {
        return this.members.size;
    }

    /** The number of known members of the own data centre. */
    get localSize(): number {
        return this.of(this.options.own.dataCentre).length;
    }

    /** Other data centres in which gateways are known. */
    get remoteDataCentres(): string[] {
        const all = new Set([...this.members.values()].map(({ dataCentre }) => dataCentre));
        all.delete(this.options.own.dataCentre);
        return [...all];
    }

    /** Whether a gateway of the own data centre is known at a host. */
    hasLocalHost(host: string): boolean {
        return this.of(this.options.own.dataCentre).some(({ address }) => address.startsWith(`${host}:`));
    }

    /** Whether other gateways of the own data centre are known, but none is alive. */
    get isIsolated(): boolean {
        const local = this.of(this.options.own.dataCentre);
        return local.length > 0 && local.every(member => !this.isAlive(member));
    }

    /** Adds a member that may not be alive. */
    add(member: Member): void {
        this.known(member);
    }

    /** Records that another gateway reported receiving the member's heartbeats. */
    markReported(member: Member): void {
        const known = this.known(member);
        if (known !== undefined) {
            known.aliveAt = this.options.clock.now();
        }
    }

    /** Records a heartbeat from the member. */
    markHeard(member: Member): void {
        const known = this.known(member);
        if (known !== undefined) {
            known.aliveAt = this.options.clock.now();
            known.receivedAt = known.aliveAt;
        }
    }

    /** Chooses the relays of the own data centre; this process may be one of them. */
    chooseRelays(): readonly string[] {
        const { own, clock } = this.options;
        const now = clock.now();
        this.skipSilentRelays(now);
        const usable = this.of(own.dataCentre).filter(member => this.isAlive(member) && member.skippedUntil <= now);
        const relays = [own, ...usable].map(({ address }) => address).sort().slice(0, relayCount);
        for (const member of this.members.values()) {
            member.relaySince = relays.includes(member.address) ? member.relaySince ?? now : undefined;
        }
        return relays;
    }

    /** The next members of the own data centre to probe as possible relays, in rotation. */
    nextLocalProbes(count = probeCount): readonly string[] {
        const now = this.options.clock.now();
        const { dataCentre } = this.options.own;
        return this.rotate(dataCentre, this.of(dataCentre).filter(member => member.skippedUntil <= now), count);
    }

    /** The next member of the own data centre that does not report to this process, in rotation. */
    nextLostProbes(reporters: readonly Pick<Member, "address">[]): readonly string[] {
        const { dataCentre } = this.options.own;
        const known = new Set(reporters.map(({ address }) => address));
        return this.rotate(dataCentre, this.of(dataCentre).filter(({ address }) => !known.has(address)), 1);
    }

    /** The next members of another data centre to ask for its relays, in rotation: live ones if there are any. */
    nextRemoteProbes(dataCentre: string): readonly string[] {
        const all = this.of(dataCentre);
        const alive = all.filter(member => this.isAlive(member));
        return this.rotate(dataCentre, alive.length > 0 ? alive : all);
    }

    /** The first gateways of the own data centre by address: this process and those whose heartbeats it receives. */
    get localSenders(): readonly string[] {
        const { own, clock } = this.options;
        const bound = clock.now() - relayTimeout;
        const senders = this.of(own.dataCentre).filter(({ receivedAt }) => receivedAt >= bound);
        return [own, ...senders].map(({ address }) => address).sort().slice(0, reportedCount);
    }

    /** The first live gateways of another data centre by address. */
    aliveIn(dataCentre: string): readonly string[] {
        const alive = this.of(dataCentre).filter(member => this.isAlive(member));
        return alive.map(({ address }) => address).sort().slice(0, relayCount);
    }

    /** Removes members that were not reported within the retention time, except for a few of each data centre. */
    removeExpired(): void {
        const bound = this.options.clock.now() - retention;
        const lastKnown = ({ aliveAt, addedAt }: KnownMember) => Math.max(aliveAt, addedAt);
        for (const dataCentre of [this.options.own.dataCentre, ...this.remoteDataCentres]) {
            this.of(dataCentre)
                .sort((a, b) => lastKnown(b) - lastKnown(a))
                .slice(minRetained)
                .filter(member => lastKnown(member) < bound)
                .forEach(({ address }) => this.members.delete(address));
        }
    }

    private rotate(dataCentre: string, members: readonly KnownMember[], count = probeCount): string[] {
        const turn = this.probeTurns.get(dataCentre) ?? 0;
        this.probeTurns.set(dataCentre, turn + count);
        const start = members.length === 0 ? 0 : turn % members.length;
        const inTurn = [...members.slice(start), ...members.slice(0, start)];
        return inTurn.slice(0, count).map(({ address }) => address);
    }

    private skipSilentRelays(now: number): void {
        for (const member of this.members.values()) {
            const { relaySince, receivedAt } = member;
            if (relaySince !== undefined && now - Math.max(relaySince, receivedAt) > relayTimeout) {
                member.skippedUntil = now + relaySkipTime;
            }
        }
    }

    /** @returns Undefined for this process itself. */
    private known({ address, dataCentre }: Member): KnownMember | undefined {
        const { own, clock } = this.options;
        const known = this.members.get(address);
        if (known !== undefined || address === own.address) {
            return known;
        }
        const member: KnownMember = {
            address,
            dataCentre,
            addedAt: clock.now(),
            aliveAt: -Infinity,
            receivedAt: -Infinity,
            relaySince: undefined,
            skippedUntil: -Infinity,
        };
        this.members.set(address, member);
        return member;
    }

    private of(dataCentre: string): KnownMember[] {
        return [...this.members.values()].filter(member => member.dataCentre === dataCentre);
    }

    private isAlive({ aliveAt }: KnownMember): boolean {
        return aliveAt >= this.options.clock.now() - reportTimeout;
    }
}
