import { type LiveHost } from "@waxwingspar/stores";
import { type Address } from "@waxwingspar/transport";
import { type Clock } from "@waxwingspar/utils";
import { type Member, type Self } from "./Member.js";
import { MembershipView } from "./MembershipView.js";

const defaultReaders = 2;
const defaultSuspicion = 10_000;
const defaultGrace = 30_000;
const defaultRetention = 3_600_000;
const defaultStaleAfter = 30_000;
/** Milliseconds after the last contact for which a process that is not in the list counts as live. */
const contactLifetime = 60_000;
/** The share of unreachable processes of a data centre above which its processes are retained longer. */
const massLossThreshold = 0.5;
/** The minimum number of processes of a data centre for which this share is considered. */
const minMassLossGroup = 4;

/**
 * Options of {@link Membership}.
 *
 * @public
 */
export interface MembershipOptions {
    readonly self: Self;
    readonly clock: Clock;
    /** The number of processes of each data centre that read the store and the live list. */
    readonly readers?: number;
    /** Milliseconds for which a process is suspect after a failure to reach it. */
    readonly suspicion?: number;
    /** Milliseconds for which a process is retained after it disappeared from the list. */
    readonly grace?: number;
    /** Milliseconds for which a process is retained if most of its data centre disappeared from the list with it. */
    readonly retention?: number;
    /** The age above which the list counts as stale, in milliseconds. */
    readonly staleAfter?: number;
}

/** The fields of a hello, or the part of them that another message repeats. */
type HelloFields = Pick<Self, "process" | "incarnation"> & Partial<Pick<Self, "dataCentre" | "region">> & {
    readonly role?: Self["role"] | "tool";
};

/** The known state of one process, from the list and from the process itself. */
interface Entry {
    host: Omit<LiveHost, "state">;
    /** The state in the list; undefined if the list does not contain the process. */
    listedState?: LiveHost["state"];
    /** When the process was last in the list, if it is not now; otherwise when it was first known. */
    absentSince: number;
    lastContactAt: number;
    incarnation?: string;
    /** The incarnation that announced that it is leaving. */
    leaving?: string;
    /** True while a `leaving` state in the list may refer to an earlier incarnation. */
    isListOutdated: boolean;
    suspectUntil: number;
    /** The last member object built for this entry and the host it was built from, for reuse while nothing changes. */
    cachedView?: { readonly host: Entry["host"]; readonly member: Member; };
}

/**
 * The processes of the system, from the platform's live list, which may lag, and from messages between processes. The
 * messages of a process take precedence over the list.
 *
 * @public
 */
export class Membership {
    readonly self: Self;
    private readonly clock: Clock;
    private readonly options: Required<Omit<MembershipOptions, "self" | "clock">>;
    private readonly known = new Map<string, Entry>();
    /** Processes that are not in the list. */
    private readonly absent = new Set<string>();
    /** Earlier incarnations, whose late messages are ignored. */
    private readonly replacedIncarnations = new Set<string>();
    private readonly handlers = new Set<() => void>();
    private listReadAt = Number.NEGATIVE_INFINITY;
    private view = new MembershipView([], Number.NEGATIVE_INFINITY);
    private viewChanged = true;

    constructor({ self, clock, ...options }: MembershipOptions) {
        this.self = self;
        this.clock = clock;
        this.options = {
            readers: options.readers ?? defaultReaders,
            suspicion: options.suspicion ?? defaultSuspicion,
            grace: options.grace ?? defaultGrace,
            retention: options.retention ?? defaultRetention,
            staleAfter: options.staleAfter ?? defaultStaleAfter,
        };
        const now = clock.now();
        const { incarnation, ...host } = self;
        const times = { absentSince: now, lastContactAt: now, suspectUntil: now };
        this.known.set(self.process, { host, ...times, incarnation, isListOutdated: false });
    }

    /** Milliseconds since the platform's list was read, by this or another process; infinite before the first list. */
    get listAge(): number {
        return this.clock.now() - this.listReadAt;
    }

    /** True if the list is too old to infer that a process is gone. Processes are evicted only after a newer list. */
    get stale(): boolean {
        return this.listAge > this.options.staleAfter;
    }

    /** Adds a handler that runs after each change. Returns a function that removes the handler. */
    onChange(handler: () => void): () => void {
        this.handlers.add(handler);
        return () => void this.handlers.delete(handler);
    }

    /** All known processes, including this one. */
    members(): readonly Member[] {
        return this.currentView().members;
    }

    /** The names of all data centres. */
    dataCentres(): readonly string[] {
        return this.currentView().dataCentres;
    }

    /**
     * The live entries.
     *
     * @param unreachable - True to include unreachable entries. Shares and limits that are divided among entries count
     * them, because an entry that is cut off may still serve callers on its side.
     */
    entries({ unreachable = false }: { unreachable?: boolean; } = {}): Member[] {
        return this.members().filter(({ role, state }) =>
            role === "entry" && (state === "live" || (unreachable && state === "unreachable"))
        );
    }

    /** The live agents. */
    agents(): Member[] {
        return this.members().filter(({ role, state }) => role === "agent" && state === "live");
    }

    /** The processes that read the store for a data centre, highest rank first. */
    readers(dataCentre: string): Member[] {
        return this.ranked(dataCentre).slice(0, this.options.readers);
    }

    /** The usable processes of a data centre, in the order in which they are readers. */
    ranked(dataCentre: string): readonly Member[] {
        return this.currentView().ranked(dataCentre);
    }

    /**
     * Applies a list.
     *
     * @param age - Milliseconds since the list was read. A list older than the last one is ignored.
     * @returns Whether the list was applied.
     */
    updateList(hosts: readonly LiveHost[], age = 0): boolean {
        const readAt = this.clock.now() - age;
        if (readAt <= this.listReadAt) {
            return false;
        }
        const present = new Set(hosts.map(host => host.process));
        for (const entry of this.known.values()) {
            if (!present.has(entry.host.process)) {
                this.markAbsent(entry);
            }
        }
        this.listReadAt = readAt;
        hosts.forEach(host => this.updateFromList(host, readAt));
        this.evictAbsent();
        this.notifyHandlers();
        return true;
    }

    /** Records that the list was read again `age` milliseconds ago without a change. */
    confirmList(age: number): void {
        const readAt = this.clock.now() - age;
        if (readAt <= this.listReadAt) {
            return;
        }
        this.listReadAt = readAt;
        if (this.evictAbsent()) {
            this.notifyHandlers();
        }
    }

    /** Records the identity that a process announced when a link to it opened, or in a later message. */
    recordHello(hello: HelloFields, address?: Address): void {
        if (
            hello.role === "tool" || this.replacedIncarnations.has(hello.incarnation)
            || hello.process === this.self.process
        ) {
            return;
        }
        const entry = this.known.get(hello.process) ?? this.addFromHello(hello, address);
        if (entry === undefined) {
            return;
        }
        if (address !== undefined) {
            this.replaceAddress(entry, address);
        }
        const now = this.clock.now();
        if (entry.suspectUntil > now) {
            this.viewChanged = true;
        }
        entry.lastContactAt = now;
        entry.suspectUntil = now;
        if (entry.incarnation === hello.incarnation) {
            return;
        }
        if (entry.incarnation !== undefined) {
            this.replacedIncarnations.add(entry.incarnation);
            entry.isListOutdated = true;
        }
        entry.incarnation = hello.incarnation;
        this.notifyHandlers();
    }

    /** Records the announcement of a process that it is leaving. */
    recordLeaving(process: string, incarnation?: string): void {
        const entry = this.known.get(process);
        if (entry === undefined || (incarnation !== undefined && this.replacedIncarnations.has(incarnation))) {
            return;
        }
        entry.incarnation = incarnation ?? entry.incarnation ?? "unknown";
        entry.leaving = entry.incarnation;
        this.notifyHandlers();
    }

    /** Records that a process could not be reached, which makes it suspect. */
    recordFailure(process: string): void {
        const entry = this.known.get(process);
        if (entry !== undefined && process !== this.self.process) {
            entry.suspectUntil = this.clock.now() + this.options.suspicion;
            this.notifyHandlers();
        }
    }

    /** Finds the process that listens at an address. */
    findByAddress({ host, port }: Address): Member | undefined {
        return this.members().find(one => one.host === host && one.port === port);
    }

    private currentView(): MembershipView {
        const now = this.clock.now();
        if (this.viewChanged || this.view.until <= now) {
            const entries = [...this.known.values()];
            const until = entries.reduce((least, entry) => Math.min(least, this.nextExpiry(entry, now)), Infinity);
            this.view = new MembershipView(entries.map(entry => this.describeMember(entry, now)), until, this.view);
            this.viewChanged = false;
        }
        return this.view;
    }

    /** The time at which the state of an entry changes if there is no further contact with the process. */
    private nextExpiry({ suspectUntil, lastContactAt, listedState }: Entry, now: number): number {
        const suspicion = suspectUntil > now ? suspectUntil : Infinity;
        const silence = listedState === undefined && lastContactAt + contactLifetime > now
            ? lastContactAt + contactLifetime
            : Infinity;
        return Math.min(suspicion, silence);
    }

    private describeMember(entry: Entry, now: number): Member {
        const { host, incarnation, suspectUntil, cachedView } = entry;
        const state = this.stateOf(entry);
        const suspect = suspectUntil > now;
        const known = cachedView?.host === host ? cachedView.member : undefined;
        const same = known?.state === state && known.suspect === suspect && known.incarnation === incarnation;
        const member = same ? known : { ...host, state, incarnation, suspect };
        entry.cachedView = { host, member };
        return member;
    }

    private stateOf(entry: Entry): Member["state"] {
        const leaves = entry.leaving !== undefined && entry.leaving === entry.incarnation;
        if (leaves || (entry.listedState === "leaving" && !entry.isListOutdated)) {
            return "leaving";
        }
        const hasRecentContact = this.clock.now() - entry.lastContactAt < contactLifetime;
        return entry.listedState !== undefined || hasRecentContact || entry.host.process === this.self.process
            ? "live"
            : "unreachable";
    }

    private markAbsent(entry: Entry): void {
        if (entry.listedState !== undefined) {
            entry.listedState = undefined;
            entry.absentSince = this.listReadAt;
        }
        entry.isListOutdated = false;
        this.absent.add(entry.host.process);
    }

    private updateFromList({ state, ...host }: LiveHost, readAt: number): void {
        this.absent.delete(host.process);
        const entry = this.known.get(host.process);
        if (entry === undefined) {
            const times = { absentSince: readAt, lastContactAt: Number.NEGATIVE_INFINITY, suspectUntil: readAt };
            this.known.set(host.process, { host, listedState: state, ...times, isListOutdated: false });
            return;
        }
        entry.host = isSamePlace(entry.host, host) ? entry.host : host;
        entry.listedState = state;
        entry.isListOutdated &&= state === "leaving";
    }

    private addFromHello(hello: HelloFields, address: Address | undefined): Entry | undefined {
        const { process, role, dataCentre, region = "" } = hello;
        if (role === undefined || role === "tool" || dataCentre === undefined || address === undefined) {
            return undefined;
        }
        const { host, port } = address;
        const now = this.clock.now();
        const times = { absentSince: now, lastContactAt: now, suspectUntil: now };
        const entry: Entry = {
            host: { process, role, host, port, dataCentre, region },
            ...times,
            isListOutdated: false,
        };
        this.known.set(process, entry);
        this.absent.add(process);
        this.notifyHandlers();
        return entry;
    }

    /** Assigns an address to the process that answered there, and marks other processes at this address as leaving. */
    private replaceAddress(entry: Entry, { host, port }: Address): void {
        if (entry.host.host !== host || entry.host.port !== port) {
            entry.host = { ...entry.host, host, port };
        }
        for (const [name, other] of this.known) {
            if (other !== entry && other.host.host === host && other.host.port === port && name !== this.self.process) {
                other.leaving = other.incarnation ??= "replaced";
            }
        }
    }

    /** Evicts expired processes that are not in the list; if most of a data centre disappeared, after a longer time. */
    private evictAbsent(): boolean {
        if (this.absent.size === 0) {
            return false;
        }
        const groups = new Map<string, Entry[]>();
        for (const entry of this.known.values()) {
            const group = groups.get(entry.host.dataCentre) ?? [];
            group.push(entry);
            groups.set(entry.host.dataCentre, group);
        }
        let dropped = false;
        for (const group of groups.values()) {
            const lost = group.filter(entry => this.stateOf(entry) === "unreachable");
            const isMassLoss = group.length >= minMassLossGroup && lost.length > group.length * massLossThreshold;
            const limit = isMassLoss ? this.options.retention : this.options.grace;
            const gone = group.filter(entry => this.isExpired(entry, limit));
            gone.forEach(entry => this.remove(entry.host.process));
            dropped ||= gone.length > 0;
        }
        return dropped;
    }

    private remove(process: string): void {
        this.known.delete(process);
        this.absent.delete(process);
    }

    private isExpired(entry: Entry, limit: number): boolean {
        if (entry.listedState !== undefined || entry.host.process === this.self.process) {
            return false;
        }
        const state = this.stateOf(entry);
        const absent = this.clock.now() - entry.absentSince;
        return state === "leaving" ? absent > this.options.grace : state === "unreachable" && absent > limit;
    }

    private notifyHandlers(): void {
        this.viewChanged = true;
        [...this.handlers].forEach(handler => handler());
    }
}

function isSamePlace(one: Entry["host"], other: Entry["host"]): boolean {
    return one.host === other.host && one.port === other.port && one.dataCentre === other.dataCentre
        && one.region === other.region && one.role === other.role;
}
