import { type HistoryRecorder } from "@waxwingspar/history";
import { type LiveList } from "@waxwingspar/stores";
import { type Address, type RpcMethod } from "@waxwingspar/transport";
import { type Clock, failure, type Outcome, platformCodes, type Random, requestCodes, sleep } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { type Configuration } from "../Configuration.js";
import { type Member } from "../membership/Member.js";
import { type Membership } from "../membership/Membership.js";
import { type Kind, type Resource } from "../resources/Resource.js";
import { type LogEntry, logEntrySchema } from "../revisions/LogEntry.js";
import { RevisionState } from "../revisions/RevisionState.js";
import { type StoreLog } from "../revisions/StoreLog.js";
import { ChangeClient } from "./ChangeClient.js";
import { ChangeServer } from "./ChangeServer.js";
import { Children } from "./Children.js";
import { leavingParamsSchema, type OfferParams, offerParamsSchema, rpcMethods } from "./messages.js";
import { NodeContext, type PeerCaller } from "./NodeContext.js";
import { pack, unpack } from "./packing.js";
import { keyOf, ParentSelector } from "./ParentSelector.js";
import { type Progress, ProgressCollector } from "./ProgressCollector.js";

/**
 * Options of {@link ConfigurationNode}.
 *
 * @public
 */
export interface ConfigurationNodeOptions {
    readonly log: StoreLog;
    readonly liveList: LiveList;
    readonly membership: Membership;
    readonly call: PeerCaller;
    readonly clock: Clock;
    readonly random: Random;
    readonly record?: HistoryRecorder;
    /** Addresses to ask while the membership is empty and the live list cannot be read. */
    readonly seeds?: readonly Address[];
    /** Milliseconds between two reads of the log by a reader. */
    readonly storeInterval?: number;
    /** Milliseconds between two reads of the live list by a reader. */
    readonly listInterval?: number;
    /** Milliseconds for which a parent holds an answer back while nothing is new. */
    readonly wait?: number;
    /** Milliseconds that lie at least between two questions to parents. */
    readonly minInterval?: number;
    /** Milliseconds until the next question after an answer with entries, so that those of a burst travel together. */
    readonly batchPause?: number;
    /** The age from which a parent counts as lagging, in milliseconds. */
    readonly lagLimit?: number;
    readonly readers?: number;
    /** How many processes are meant to learn from one. */
    readonly fanOut?: number;
    /** How many processes may learn from one. */
    readonly maxChildren?: number;
}

const defaults = {
    storeInterval: 500,
    listInterval: 2000,
    wait: 1500,
    minInterval: 150,
    batchPause: 300,
    lagLimit: 3000,
    readers: 2,
    fanOut: 6,
    maxChildren: 24,
};
const readerExchange = 1000;
const listPatience = 2000;
const longestBackoff = 2000;
const peersForReadiness = 3;
/** Processes that are asked for their revision at the same time. */
const askedAtOnce = 64;
const leavingTimeout = 500;
const offerTimeout = 1000;

/**
 * The configuration in force in a process, and its part in distributing it: it learns from the store if it is one of
 * its data centre's readers, else from a process of the tier above, and hands on what it knows.
 *
 * @public
 */
export class ConfigurationNode implements Configuration {
    /** The state in force. Others may offer it entries; it takes only the next ones. */
    readonly state: RevisionState;
    private readonly options: ConfigurationNodeOptions & typeof defaults;
    private readonly context: NodeContext;
    private readonly client: ChangeClient;
    private readonly server: ChangeServer;
    private readonly collector: ProgressCollector;
    private readonly parents: ParentSelector;
    private readonly children: Children;
    private startedAt = Number.POSITIVE_INFINITY;
    private stopped = false;
    private readyNow = false;

    constructor(options: ConfigurationNodeOptions) {
        this.options = { ...defaults, ...options };
        const { clock, membership, call, record = () => undefined } = this.options;
        const onApplied = (revision: number, digest: string) => record({ event: "config.applied", revision, digest });
        this.state = new RevisionState({ onApplied });
        this.context = new NodeContext(clock, this.state, membership);
        this.children = new Children(clock, this.options.maxChildren);
        this.client = new ChangeClient(this.context, call, () => this.children.count);
        this.server = new ChangeServer(this.context, this.children);
        this.collector = new ProgressCollector(this.context, this.children, call);
        this.parents = new ParentSelector(this.options);
    }

    get revision(): number {
        return this.state.revision;
    }

    /** True once this process knows all that was accepted before it started, as far as anyone could tell it. */
    get ready(): boolean {
        return this.readyNow;
    }

    /** Milliseconds since this process was in step with the store, by whatever path. */
    get age(): number {
        return this.context.age;
    }

    get<K extends Kind>(kind: K, name: string): Resource<K> | undefined {
        return this.state.get(kind, name);
    }

    list<K extends Kind>(kind: K): readonly Resource<K>[] {
        return this.state.list(kind);
    }

    onChange(handler: (revision: number) => void): () => void {
        return this.state.onChange(handler);
    }

    /** The RPC methods that this node offers to every peer. */
    methods(): Record<string, RpcMethod> {
        return {
            [rpcMethods.since]: this.server.since,
            [rpcMethods.snapshot]: this.server.snapshot,
            [rpcMethods.progress]: this.collector.answer,
            [rpcMethods.offer]: params => Promise.resolve(this.heardOffer(params)),
            [rpcMethods.leaving]: params => Promise.resolve(this.heardLeaving(params)),
        };
    }

    /** Finds out which processes have a revision in force. */
    progress(revision: number, timeout = 2000): Promise<Progress> {
        return this.collector.collect(revision, timeout);
    }

    /**
     * Asks every other process for the revision that it has in force, and learns the changes that it has not heard of.
     *
     * @returns The highest; a failure unless each process has answered that the list shows or showed lately.
     */
    async findNewest(): Promise<Outcome<number>> {
        const { membership } = this.options;
        if (!Number.isFinite(membership.listAge)) {
            return Result.err(failure(platformCodes.storeUnavailable, "the other processes are not known yet"));
        }
        const others = membership.members().filter(({ process }) => process !== membership.self.process);
        let newest = this.state.revision;
        for (let first = 0; first < others.length; first += askedAtOnce) {
            const group = others.slice(first, first + askedAtOnce);
            for (const answer of await Promise.all(group.map(other => this.client.ask(other, 0)))) {
                if (answer.isErr) {
                    const message = "changes may be lost, and a process has not told what it has in force";
                    return Result.err(failure(platformCodes.storeUnavailable, message));
                }
                newest = Math.max(newest, answer.value.revision);
            }
        }
        return Result.ok(newest);
    }

    /** Starts to learn. Resolves once the process is {@link ConfigurationNode.ready}. */
    async start(): Promise<void> {
        this.startedAt = this.options.clock.now();
        void this.listLoop();
        void this.storeLoop();
        void this.peerLoop();
        await this.becomeReady();
    }

    /** Stops learning; questions of others are still answered. */
    stop(): void {
        this.stopped = true;
        this.context.signal.notify();
    }

    /** Tells those who learn from this process, and those it learns from, that it leaves. */
    async announceLeaving(): Promise<void> {
        const { process, incarnation } = this.options.membership.self;
        const params = { process, incarnation };
        const tell = (peer: Address) => this.options.call(peer, rpcMethods.leaving, params, leavingTimeout);
        const below = this.children.list().map(({ link }) => link.request(rpcMethods.leaving, params, leavingTimeout));
        await Promise.all([...below, ...this.parents.list().map(tell)]);
    }

    /**
     * Tells a change that this process accepted to the readers of its data centre and to one reader of each other, ahead
     * of their next read of the store. What gets lost, they read there.
     */
    offer(entry: LogEntry): void {
        this.sendOffer({ entries: pack([entry]) }, [...this.parents.ownReaders(), ...this.parents.remoteReaders(1)]);
    }

    /** The reader that hears of a change tells the others of its data centre. */
    private heardOffer(params: unknown): Outcome<unknown> {
        const parsed = offerParamsSchema.safeParse(params);
        const entries = parsed.success ? z.array(logEntrySchema).safeParse(unpack(parsed.data.entries)) : parsed;
        if (!parsed.success || !entries.success) {
            return Result.err(failure(requestCodes.malformed, "malformed offer"));
        }
        if (this.state.apply(entries.data) === "applied") {
            this.sendOffer(parsed.data, this.parents.ownReaders());
        }
        return Result.ok(true);
    }

    private sendOffer(params: OfferParams, readers: readonly Member[]): void {
        const { membership, call } = this.options;
        for (const reader of readers.filter(one => one.process !== membership.self.process)) {
            void call(reader, rpcMethods.offer, params, offerTimeout);
        }
    }

    private heardLeaving(params: unknown): Outcome<unknown> {
        const parsed = leavingParamsSchema.safeParse(params);
        if (!parsed.success) {
            return Result.err(failure(requestCodes.malformed, "malformed announcement"));
        }
        this.options.membership.sawLeaving(parsed.data.process, parsed.data.incarnation);
        return Result.ok(true);
    }

    /**
     * The target revision is the store's head, or while the store is down the highest of several peers; nothing is
     * known when neither answers.
     */
    private async becomeReady(): Promise<void> {
        const { clock } = this.options;
        for (let attempt = 0; !this.stopped; attempt++) {
            const target = await this.targetRevision();
            if (target !== undefined) {
                await this.waitForRevision(target);
                this.readyNow = !this.stopped;
                return;
            }
            await sleep(clock, this.backoff(attempt));
        }
    }

    private async targetRevision(): Promise<number | undefined> {
        const head = await this.options.log.head();
        if (head.isOk) {
            return head.value.revision;
        }
        const peers = this.parents.list().slice(0, peersForReadiness);
        const answers = await Promise.all(peers.map(peer => this.client.ask(peer, 0)));
        const revisions = answers.filter(answer => answer.isOk).map(answer => answer.value.revision);
        return revisions.length === 0 ? undefined : Math.max(...revisions);
    }

    private async waitForRevision(revision: number): Promise<void> {
        while (!this.stopped && this.state.revision < revision) {
            await this.context.signal.wait(this.options.storeInterval);
        }
    }

    private async storeLoop(): Promise<void> {
        const { clock, log, storeInterval } = this.options;
        for (let failures = 0; !this.stopped;) {
            if (this.isReader()) {
                const started = clock.now();
                const offer = await log.advance(this.state);
                if (offer.isOk && (offer.value === "applied" || offer.value === "current")) {
                    this.context.synced(clock.now() - started);
                }
                failures = offer.isOk ? 0 : failures + 1;
            }
            await sleep(clock, failures === 0 ? this.jitter(storeInterval) : this.backoff(failures));
        }
    }

    /** Readers read the list again and again; others only until they know one, and learn the rest from peers. */
    private async listLoop(): Promise<void> {
        const { clock, liveList, membership, listInterval } = this.options;
        for (let failures = 0; !this.stopped;) {
            if (this.isReader() || !Number.isFinite(membership.listAge)) {
                const started = clock.now();
                const list = await liveList.read();
                if (list.isOk) {
                    this.context.takeList(list.value, clock.now() - started);
                }
                failures = list.isOk ? 0 : failures + 1;
            }
            await sleep(clock, failures === 0 ? this.jitter(listInterval) : this.backoff(failures));
        }
    }

    private async peerLoop(): Promise<void> {
        const { clock, wait, minInterval, batchPause } = this.options;
        let proved: string | undefined;
        while (!this.stopped) {
            const started = clock.now();
            const reader = this.isReader();
            const parent = this.parents.pick();
            let pause = 0;
            if (parent !== undefined) {
                // A parent that has not proved itself is asked for a quick answer, so that several dead ones cost little.
                const answer = await this.client.ask(parent, reader || keyOf(parent) !== proved ? 0 : wait);
                proved = answer.isOk ? keyOf(parent) : undefined;
                this.parents.note(parent, answer, reader);
                pause = answer.isOk && answer.value.news ? batchPause : 0;
            }
            const interval = reader ? readerExchange : parent === undefined ? longestBackoff / 4 : minInterval;
            await sleep(clock, Math.max(pause, this.jitter(interval) - (clock.now() - started)));
        }
    }

    /** A process that knows no list would take itself for the only one, so it gives the list some time. */
    private isReader(): boolean {
        const { membership, readers, clock } = this.options;
        if (!Number.isFinite(membership.listAge) && clock.now() < this.startedAt + listPatience) {
            return false;
        }
        const { dataCentre, process } = membership.self;
        return membership.ranked(dataCentre).slice(0, readers).some(one => one.process === process);
    }

    private jitter(duration: number): number {
        return duration * (0.8 + 0.4 * this.options.random.next());
    }

    private backoff(failures: number): number {
        return this.jitter(Math.min(longestBackoff, this.options.storeInterval * 2 ** Math.min(failures, 8)));
    }
}
