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
import { addressKey, ParentSelector } from "./ParentSelector.js";
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
    /** Addresses of peers to use while the membership is empty and the live list cannot be read. */
    readonly seeds?: readonly Address[];
    /** Milliseconds between two reads of the log by a reader. */
    readonly storeInterval?: number;
    /** Milliseconds between two reads of the live list by a reader. */
    readonly listInterval?: number;
    /** Milliseconds for which a parent may delay a response while it has nothing new. */
    readonly wait?: number;
    /** Minimum number of milliseconds between two requests to parents. */
    readonly minInterval?: number;
    /** Milliseconds before the next request after a response with entries, so that bursts of entries are batched. */
    readonly batchPause?: number;
    /** The age above which a parent counts as lagging, in milliseconds. */
    readonly lagLimit?: number;
    readonly readers?: number;
    /** The intended number of children of one process. */
    readonly fanOut?: number;
    /** The maximum number of children of one process. */
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
/** Milliseconds between two requests of a reader to other processes. */
const readerExchangeInterval = 1000;
/** Milliseconds after the start for which a process without a live list does not act as a reader. */
const firstListTimeout = 2000;
/** Milliseconds of the longest back-off, before jitter. */
const maxBackoff = 2000;
/** The number of peers whose revisions determine readiness while the store is down. */
const readinessPeers = 3;
/** Processes that are queried for their revision concurrently. */
const maxParallelRequests = 64;
const leavingTimeout = 500;
const offerTimeout = 1000;

/**
 * The configuration in force in a process, and its role in distributing it: the process reads from the store if it is
 * one of the readers of its data centre, otherwise from a process of the tier above, and serves changes to other
 * processes.
 *
 * @public
 */
export class ConfigurationNode implements Configuration {
    /** The state in force. Other components may apply entries to it, which it accepts only in revision order. */
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
    private isReady = false;

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

    /** True once this process has in force what the store, or peers if the store is down, held at its start. */
    get ready(): boolean {
        return this.isReady;
    }

    /** Milliseconds since this process was last synchronised with the store, directly or through peers. */
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

    /** The RPC methods that this node serves to all peers. */
    methods(): Record<string, RpcMethod> {
        return {
            [rpcMethods.since]: this.server.since,
            [rpcMethods.snapshot]: this.server.snapshot,
            [rpcMethods.progress]: this.collector.answer,
            [rpcMethods.offer]: params => Promise.resolve(this.receiveOffer(params)),
            [rpcMethods.leaving]: params => Promise.resolve(this.receiveLeaving(params)),
        };
    }

    /** Finds out which processes have a revision in force. */
    progress(revision: number, timeout = 2000): Promise<Progress> {
        return this.collector.collect(revision, timeout);
    }

    /**
     * Queries every other process for its revision in force and applies changes that this process lacks.
     *
     * @returns The highest revision, or a failure unless every process that is in the live list, or was until recently,
     * has answered.
     */
    async findNewest(): Promise<Outcome<number>> {
        const { membership } = this.options;
        if (!Number.isFinite(membership.listAge)) {
            return Result.err(failure(platformCodes.storeUnavailable, "the live list has not been read yet"));
        }
        const others = membership.members().filter(({ process }) => process !== membership.self.process);
        let newest = this.state.revision;
        for (let first = 0; first < others.length; first += maxParallelRequests) {
            const group = others.slice(first, first + maxParallelRequests);
            for (const answer of await Promise.all(group.map(other => this.client.fetchChanges(other, 0)))) {
                if (answer.isErr) {
                    const message =
                        "the store may have lost changes, and a process did not report its revision in force";
                    return Result.err(failure(platformCodes.storeUnavailable, message));
                }
                newest = Math.max(newest, answer.value.revision);
            }
        }
        return Result.ok(newest);
    }

    /** Starts to fetch changes. Resolves once the process is {@link ConfigurationNode.ready}. */
    async start(): Promise<void> {
        this.startedAt = this.options.clock.now();
        void this.listLoop();
        void this.storeLoop();
        void this.peerLoop();
        await this.becomeReady();
    }

    /** Stops fetching changes; requests from other processes are still answered. */
    stop(): void {
        this.stopped = true;
        this.context.signal.notify();
    }

    /** Announces to the children and the parents of this process that it is leaving. */
    async announceLeaving(): Promise<void> {
        const { process, incarnation } = this.options.membership.self;
        const params = { process, incarnation };
        const notifyPeer = (peer: Address) => this.options.call(peer, rpcMethods.leaving, params, leavingTimeout);
        const childRequests = this.children.list().map(({ link }) =>
            link.request(rpcMethods.leaving, params, leavingTimeout)
        );
        await Promise.all([...childRequests, ...this.parents.list().map(notifyPeer)]);
    }

    /**
     * Sends a change that this process accepted to the readers of its own data centre and to one reader of each other
     * data centre, ahead of their next read of the store. Lost messages are not resent, because the readers also read
     * the store.
     */
    offer(entry: LogEntry): void {
        this.sendOffer({ entries: pack([entry]) }, [...this.parents.ownReaders(), ...this.parents.remoteReaders(1)]);
    }

    /** Applies an offered change and, if it was new, forwards it to the readers of this data centre. */
    private receiveOffer(params: unknown): Outcome<unknown> {
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

    private receiveLeaving(params: unknown): Outcome<unknown> {
        const parsed = leavingParamsSchema.safeParse(params);
        if (!parsed.success) {
            return Result.err(failure(requestCodes.malformed, "malformed announcement"));
        }
        this.options.membership.recordLeaving(parsed.data.process, parsed.data.incarnation);
        return Result.ok(true);
    }

    /**
     * Waits until the target revision is in force: the head of the store or, while the store is down, the highest
     * revision of several peers. Retries while neither the store nor any peer answers.
     */
    private async becomeReady(): Promise<void> {
        const { clock } = this.options;
        for (let attempt = 0; !this.stopped; attempt++) {
            const target = await this.targetRevision();
            if (target !== undefined) {
                await this.waitForRevision(target);
                this.isReady = !this.stopped;
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
        const peers = this.parents.list().slice(0, readinessPeers);
        const answers = await Promise.all(peers.map(peer => this.client.fetchChanges(peer, 0)));
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
                const result = await log.advance(this.state);
                if (result.isOk && (result.value === "applied" || result.value === "current")) {
                    this.context.markSynced(clock.now() - started);
                }
                failures = result.isOk ? 0 : failures + 1;
            }
            await sleep(clock, failures === 0 ? this.jitter(storeInterval) : this.backoff(failures));
        }
    }

    /** Readers read the live list periodically; other processes only until they have one, and then use peers. */
    private async listLoop(): Promise<void> {
        const { clock, liveList, membership, listInterval } = this.options;
        for (let failures = 0; !this.stopped;) {
            if (this.isReader() || !Number.isFinite(membership.listAge)) {
                const started = clock.now();
                const list = await liveList.read();
                if (list.isOk) {
                    this.context.applyList(list.value, clock.now() - started);
                }
                failures = list.isOk ? 0 : failures + 1;
            }
            await sleep(clock, failures === 0 ? this.jitter(listInterval) : this.backoff(failures));
        }
    }

    private async peerLoop(): Promise<void> {
        const { clock, wait, minInterval, batchPause } = this.options;
        let responsiveParent: string | undefined;
        while (!this.stopped) {
            const started = clock.now();
            const reader = this.isReader();
            const parent = this.parents.pick();
            let pause = 0;
            if (parent !== undefined) {
                // A parent that has not answered before is not allowed to delay its response, so that unresponsive
                // parents are detected quickly.
                const answer = await this.client.fetchChanges(
                    parent,
                    reader || addressKey(parent) !== responsiveParent ? 0 : wait,
                );
                responsiveParent = answer.isOk ? addressKey(parent) : undefined;
                this.parents.recordResult(parent, answer, reader);
                pause = answer.isOk && answer.value.hasEntries ? batchPause : 0;
            }
            const interval = reader ? readerExchangeInterval : parent === undefined ? maxBackoff / 4 : minInterval;
            await sleep(clock, Math.max(pause, this.jitter(interval) - (clock.now() - started)));
        }
    }

    /** Without a live list a process would consider itself a reader, so it waits some time for the first list. */
    private isReader(): boolean {
        const { membership, readers, clock } = this.options;
        if (!Number.isFinite(membership.listAge) && clock.now() < this.startedAt + firstListTimeout) {
            return false;
        }
        const { dataCentre, process } = membership.self;
        return membership.ranked(dataCentre).slice(0, readers).some(one => one.process === process);
    }

    private jitter(duration: number): number {
        return duration * (0.8 + 0.4 * this.options.random.next());
    }

    private backoff(failures: number): number {
        return this.jitter(Math.min(maxBackoff, this.options.storeInterval * 2 ** Math.min(failures, 8)));
    }
}
