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
const heardFor = 60_000;
const massLossShare = 0.5;
const massLossGroup = 4;

/**
 * Options of {@link Membership}.
 *
 * @public
 */
export interface MembershipOptions {
    readonly self: Self;
    readonly clock: Clock;
    /** How many processes of each data centre read the store and the live list. */
    readonly readers?: number;
    /** Milliseconds for which a process is avoided after a failure to reach it. */
    readonly suspicion?: number;
    /** Milliseconds for which a process that the list dropped still counts as unreachable. */
    readonly grace?: number;
    /** The same, in milliseconds, when most of its data centre or region went with it. */
    readonly retention?: number;
    /** The age at which the list counts as stale, in milliseconds. */
    readonly staleAfter?: number;
}

/** What a process says of itself: a hello, or the part of it that another message repeats. */
type Greeting = Pick<Self, "process" | "incarnation"> & Partial<Pick<Self, "dataCentre" | "region">> & {
    readonly role?: Self["role"] | "tool";
};

/** What is known of one process, from the list and from itself. */
interface Entry {
    host: Omit<LiveHost, "state">;
    /** Its state in the list; undefined when the list does not show it. */
    listed?: LiveHost["state"];
    /** When the list last showed it, while it does not; or when it was first heard of. */
    absentSince: number;
    heardAt: number;
    incarnation?: string;
    /** The incarnation that announced that it leaves. */
    leaving?: string;
    /** True while the list may still speak of an earlier incarnation when it says `leaving`. */
    listLags: boolean;
    suspectUntil: number;
    /** How it was last shown, and the place that it was shown with. */
    shown?: { readonly host: Entry["host"]; readonly member: Member; };
}

/**
 * The processes of the system, from the platform's lagging list and from what processes tell each other. What a process
 * says itself goes before the list.
 *
 * @public
 */
export class Membership {
    readonly self: Self;
    private readonly clock: Clock;
    private readonly options: Required<Omit<MembershipOptions, "self" | "clock">>;
    private readonly known = new Map<string, Entry>();
    /** Processes that the list does not show. */
    private readonly absent = new Set<string>();
    /** Earlier incarnations, which a late message must not bring back. */
    private readonly replaced = new Set<string>();
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
        const times = { absentSince: now, heardAt: now, suspectUntil: now };
        this.known.set(self.process, { host, ...times, incarnation, listLags: false });
    }

    /** Milliseconds since the platform's list was read, by whoever read it; infinite before the first. */
    get listAge(): number {
        return this.clock.now() - this.listReadAt;
    }

    /** True when the list is too old to be trusted about absence: nobody is dropped then. */
    get stale(): boolean {
        return this.listAge > this.options.staleAfter;
    }

    /** Adds a function that runs after a change. Returns the function that removes it. */
    onChange(handler: () => void): () => void {
        this.handlers.add(handler);
        return () => void this.handlers.delete(handler);
    }

    /** Every known process, this one included. */
    members(): readonly Member[] {
        return this.currentView().members;
    }

    /** The names of all data centres. */
    dataCentres(): readonly string[] {
        return this.currentView().dataCentres;
    }

    /**
     * The entries.
     *
     * @param unreachable - True to count those that are cut off: shares and limits that are divided among entries keep
     * their part, since they may still serve callers on their side.
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

    /** The processes that read the store for a data centre, the first in line first. */
    readers(dataCentre: string): Member[] {
        return this.ranked(dataCentre).slice(0, this.options.readers);
    }

    /** The usable processes of a data centre, in the order in which they are readers. */
    ranked(dataCentre: string): readonly Member[] {
        return this.currentView().ranked(dataCentre);
    }

    /**
     * Takes a list.
     *
     * @param age - Milliseconds since it was read. A list older than the last one changes nothing.
     * @returns Whether the list was taken.
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
        this.drop();
        this.announce();
        return true;
    }

    /** Notes that the list was read again at some age and had not changed. */
    confirmList(age: number): void {
        const readAt = this.clock.now() - age;
        if (readAt <= this.listReadAt) {
            return;
        }
        this.listReadAt = readAt;
        if (this.drop()) {
            this.announce();
        }
    }

    /** Takes what a process said of itself when a link to it opened, or in any later message. */
    sawHello(hello: Greeting, address?: Address): void {
        if (hello.role === "tool" || this.replaced.has(hello.incarnation) || hello.process === this.self.process) {
            return;
        }
        const entry = this.known.get(hello.process) ?? this.addHeard(hello, address);
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
        entry.heardAt = now;
        entry.suspectUntil = now;
        if (entry.incarnation === hello.incarnation) {
            return;
        }
        if (entry.incarnation !== undefined) {
            this.replaced.add(entry.incarnation);
            entry.listLags = true;
        }
        entry.incarnation = hello.incarnation;
        this.announce();
    }

    /** Takes a process's own announcement that it leaves. */
    sawLeaving(process: string, incarnation?: string): void {
        const entry = this.known.get(process);
        if (entry === undefined || (incarnation !== undefined && this.replaced.has(incarnation))) {
            return;
        }
        entry.incarnation = incarnation ?? entry.incarnation ?? "unknown";
        entry.leaving = entry.incarnation;
        this.announce();
    }

    /** Notes that a process could not be reached. */
    sawFailure(process: string): void {
        const entry = this.known.get(process);
        if (entry !== undefined && process !== this.self.process) {
            entry.suspectUntil = this.clock.now() + this.options.suspicion;
            this.announce();
        }
    }

    /** Finds the process that listens at an address. */
    at({ host, port }: Address): Member | undefined {
        return this.members().find(one => one.host === host && one.port === port);
    }

    private currentView(): MembershipView {
        const now = this.clock.now();
        if (this.viewChanged || this.view.until <= now) {
            const entries = [...this.known.values()];
            const until = entries.reduce((least, entry) => Math.min(least, this.nextExpiry(entry, now)), Infinity);
            this.view = new MembershipView(entries.map(entry => this.describe(entry, now)), until, this.view);
            this.viewChanged = false;
        }
        return this.view;
    }

    /** When the state of an entry changes if nothing more is heard. */
    private nextExpiry({ suspectUntil, heardAt, listed }: Entry, now: number): number {
        const suspicion = suspectUntil > now ? suspectUntil : Infinity;
        const silence = listed === undefined && heardAt + heardFor > now ? heardAt + heardFor : Infinity;
        return Math.min(suspicion, silence);
    }

    private describe(entry: Entry, now: number): Member {
        const { host, incarnation, suspectUntil, shown } = entry;
        const state = this.stateOf(entry);
        const suspect = suspectUntil > now;
        const known = shown?.host === host ? shown.member : undefined;
        const same = known?.state === state && known.suspect === suspect && known.incarnation === incarnation;
        const member = same ? known : { ...host, state, incarnation, suspect };
        entry.shown = { host, member };
        return member;
    }

    private stateOf(entry: Entry): Member["state"] {
        const leaves = entry.leaving !== undefined && entry.leaving === entry.incarnation;
        if (leaves || (entry.listed === "leaving" && !entry.listLags)) {
            return "leaving";
        }
        const heard = this.clock.now() - entry.heardAt < heardFor;
        return entry.listed !== undefined || heard || entry.host.process === this.self.process ? "live" : "unreachable";
    }

    private markAbsent(entry: Entry): void {
        if (entry.listed !== undefined) {
            entry.listed = undefined;
            entry.absentSince = this.listReadAt;
        }
        entry.listLags = false;
        this.absent.add(entry.host.process);
    }

    private updateFromList({ state, ...host }: LiveHost, readAt: number): void {
        this.absent.delete(host.process);
        const entry = this.known.get(host.process);
        if (entry === undefined) {
            const times = { absentSince: readAt, heardAt: Number.NEGATIVE_INFINITY, suspectUntil: readAt };
            this.known.set(host.process, { host, listed: state, ...times, listLags: false });
            return;
        }
        entry.host = isSamePlace(entry.host, host) ? entry.host : host;
        entry.listed = state;
        entry.listLags &&= state === "leaving";
    }

    private addHeard(hello: Greeting, address: Address | undefined): Entry | undefined {
        const { process, role, dataCentre, region = "" } = hello;
        if (role === undefined || role === "tool" || dataCentre === undefined || address === undefined) {
            return undefined;
        }
        const { host, port } = address;
        const now = this.clock.now();
        const times = { absentSince: now, heardAt: now, suspectUntil: now };
        const entry: Entry = { host: { process, role, host, port, dataCentre, region }, ...times, listLags: false };
        this.known.set(process, entry);
        this.absent.add(process);
        this.announce();
        return entry;
    }

    /** Whoever answered last at an address is there; another process that the list still shows there is gone. */
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

    /** Forgets processes that the list no longer shows, unless most of their data centre vanished with them. */
    private drop(): boolean {
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
            const mass = group.length >= massLossGroup && lost.length > group.length * massLossShare;
            const limit = mass ? this.options.retention : this.options.grace;
            const gone = group.filter(entry => this.isGone(entry, limit));
            gone.forEach(entry => this.forget(entry.host.process));
            dropped ||= gone.length > 0;
        }
        return dropped;
    }

    private forget(process: string): void {
        this.known.delete(process);
        this.absent.delete(process);
    }

    private isGone(entry: Entry, limit: number): boolean {
        if (entry.listed !== undefined || entry.host.process === this.self.process) {
            return false;
        }
        const state = this.stateOf(entry);
        const absent = this.clock.now() - entry.absentSince;
        return state === "leaving" ? absent > this.options.grace : state === "unreachable" && absent > limit;
    }

    private announce(): void {
        this.viewChanged = true;
        [...this.handlers].forEach(handler => handler());
    }
}

function isSamePlace(one: Entry["host"], other: Entry["host"]): boolean {
    return one.host === other.host && one.port === other.port && one.dataCentre === other.dataCentre
        && one.region === other.region && one.role === other.role;
}
