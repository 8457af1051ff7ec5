import { type HistoryEvent, type HistoryLine } from "@waxwingspar/history";
import { type LiveHost, MemoryLiveList, MemoryTableStore, type Row, type TableStore } from "@waxwingspar/stores";
import { type Address, type Link, type RpcMethod } from "@waxwingspar/transport";
import {
    failure,
    ManualClock,
    type Outcome,
    platformCodes,
    seededRandom,
    sleep,
    transportCodes,
} from "@waxwingspar/utils";
import { Result } from "true-myth";
import { ConfigurationNode, type ConfigurationNodeOptions } from "../distribution/ConfigurationNode.js";
import { type PeerCaller } from "../distribution/NodeContext.js";
import { Membership } from "../membership/Membership.js";
import { StoreLog } from "../revisions/StoreLog.js";
import { ResourceStore } from "../store/ResourceStore.js";
import { parseDesired } from "../validation/parseDesired.js";

const basePort = 1000;
/** Milliseconds that a message takes in one direction. */
const hopLatency = 2;

/** A simulated process whose connections to the store and to its peers can fail independently. @internal */
export class SimulatedProcess {
    /** True if the process neither sends nor answers messages, although connections to it stay open. */
    hung = false;
    /** True if connections to the process are refused. */
    dead = false;
    /** Additional latency in milliseconds of each message to or from the process. */
    slowness = 0;
    /** False if the process cannot reach the store and the live list. */
    reachesStore = true;
    /** While set, reads of the store return these rows. */
    staleRows: Row[] | undefined;
    node!: ConfigurationNode;
    store!: ResourceStore;
    membership!: Membership;
    incarnation = 0;
    sequence = 0;

    constructor(readonly name: string, readonly host: LiveHost) {}
}

/**
 * Many configuration nodes on one manual clock, with a network and a store whose faults are controlled by the test.
 *
 * @internal
 */
export class SimulatedSite {
    readonly clock = new ManualClock();
    readonly table = new MemoryTableStore({ clock: this.clock });
    readonly liveList = new MemoryLiveList({ clock: this.clock });
    readonly processes: SimulatedProcess[] = [];
    readonly lines: HistoryLine[] = [];
    readonly calls = new Map<string, number>();
    /** Pairs of data centres that cannot communicate, as `a b`. */
    readonly cuts = new Set<string>();
    private changes = 0;

    constructor(
        centres: readonly string[],
        perCentre: number,
        private readonly options: Partial<ConfigurationNodeOptions> = {},
    ) {
        for (const dataCentre of centres) {
            for (let index = 0; index < perCentre; index++) {
                this.add(`${dataCentre}-${index}`, dataCentre);
            }
        }
    }

    /** Adds a process to the live list without starting it. */
    add(name: string, dataCentre: string): SimulatedProcess {
        const port = basePort + this.processes.length;
        const role = this.processes.length % 3 === 0 ? "entry" : "agent";
        const place = { dataCentre, region: `region-${dataCentre}` };
        const process = new SimulatedProcess(name, {
            process: name,
            role,
            host: "127.0.0.1",
            port,
            ...place,
            state: "live",
        });
        this.processes.push(process);
        this.liveList.set(process.host);
        return process;
    }

    /** Starts a process, or restarts it without its previous state. */
    start(process: SimulatedProcess): Promise<void> {
        process.node?.stop();
        process.incarnation++;
        process.sequence = 0;
        process.dead = false;
        process.hung = false;
        const { role, host, port, dataCentre, region } = process.host;
        const incarnation = `${process.name}#${process.incarnation}`;
        this.record(process, incarnation, { event: "process.started" });
        const random = seededRandom(process.host.port * 31 + process.incarnation);
        const record = (event: HistoryEvent) => this.record(process, incarnation, event);
        const log = new StoreLog(this.storeOf(process));
        const membership = new Membership({
            self: { process: process.name, role, host, port, dataCentre, region, incarnation },
            clock: this.clock,
        });
        const liveList = { read: () => this.readList(process) };
        const call: PeerCaller = (address, method, params, timeout) =>
            this.call(process, incarnation, address, method, params, timeout);
        const shared = { log, clock: this.clock, random, record };
        const node = new ConfigurationNode({ ...shared, membership, liveList, call, ...this.options });
        process.membership = membership;
        process.node = node;
        process.store = new ResourceStore({
            ...shared,
            state: node.state,
            onAccepted: entry => node.offer(entry),
            findNewest: () => node.findNewest(),
        });
        return node.start();
    }

    /** Starts all processes. */
    async startAll(): Promise<void> {
        const started = Promise.all(this.processes.map(process => this.start(process)));
        await this.settle(started);
    }

    /** Kills a process without an announcement and without closing its history. */
    kill(process: SimulatedProcess): void {
        process.node.stop();
        process.dead = true;
    }

    /** Hangs a process, while connections to it stay open. It only resumes by a restart. */
    hang(process: SimulatedProcess): void {
        this.kill(process);
        process.dead = false;
        process.hung = true;
    }

    /** Stops all running processes and closes their histories. */
    stopAll(): void {
        for (const process of this.processes.filter(one => !one.dead && !one.hung)) {
            this.record(process, `${process.name}#${process.incarnation}`, { event: "history.closed" });
            this.kill(process);
        }
    }

    /** Sends a change of one service to a process. */
    async change(process: SimulatedProcess, name: string, timeout: number) {
        const desired = parseDesired({ kind: "service", name, spec: { timeout } });
        if (desired.isErr) {
            throw new Error("the service spec of the test is invalid");
        }
        return process.store.apply([desired.value], { changeId: `change-${this.changes++}` });
    }

    /** Advances the clock until a promise settles. */
    async settle<T>(work: Promise<T>, limit = 60_000): Promise<T> {
        let done = false;
        void work.finally(() => done = true);
        for (let time = 0; time < limit && !done; time += 10) {
            await this.clock.advanceAsync(10);
        }
        if (!done) {
            throw new Error(`the promise did not settle within ${limit} ms`);
        }
        return work;
    }

    /** Advances the clock until a condition holds or the limit is reached. Returns the elapsed milliseconds. */
    async until(condition: () => boolean, limit = 10_000): Promise<number> {
        const started = this.clock.now();
        while (!condition() && this.clock.now() - started < limit) {
            await this.clock.advanceAsync(10);
        }
        return this.clock.now() - started;
    }

    /** Whether a revision is in force on all running processes. */
    inForce(revision: number): boolean {
        return this.processes.filter(one => !one.dead && !one.hung && one.node !== undefined)
            .every(one => one.node.revision >= revision);
    }

    private record(process: SimulatedProcess, incarnation: string, body: HistoryEvent): void {
        if (process.dead || process.hung || incarnation !== `${process.name}#${process.incarnation}`) {
            return;
        }
        const time = this.clock.now();
        this.lines.push({ process: process.name, incarnation, sequence: process.sequence++, time, body });
    }

    private async readList(process: SimulatedProcess): Promise<Outcome<LiveHost[]>> {
        return process.reachesStore ? this.liveList.read() : storeDown();
    }

    private storeOf(process: SimulatedProcess): TableStore {
        const { table } = this;
        const reach = <T>(use: () => Promise<Outcome<T>>): Promise<Outcome<T>> =>
            process.reachesStore ? use() : Promise.resolve(storeDown<T>());
        const stale = (keep: (row: Row) => boolean) => process.staleRows?.filter(keep);
        return {
            get era() {
                return table.era;
            },
            get: key =>
                reach(async () => {
                    const rows = stale(row => row.key === key);
                    return rows === undefined
                        ? table.get(key)
                        : Result.ok(rows[0] ?? { key, value: undefined, version: 0 });
                }),
            scan: (prefix, after, limit) =>
                reach(async () => {
                    const rows = stale(row => row.key.startsWith(prefix) && row.key > after);
                    return rows === undefined ? table.scan(prefix, after, limit) : Result.ok(rows.slice(0, limit));
                }),
            commit: transaction => reach(() => table.commit(transaction)),
            findCommit: writeId => reach(() => table.findCommit(writeId)),
        };
    }

    private async call(
        from: SimulatedProcess,
        incarnation: string,
        address: Address,
        method: string,
        params: unknown,
        timeout: number,
    ): Promise<Outcome<unknown>> {
        const to = this.processes.find(one => one.host.port === address.port);
        if (
            to === undefined || to.dead || to.node === undefined || incarnation !== `${from.name}#${from.incarnation}`
        ) {
            return Result.err(failure(transportCodes.notConnected, "refused"));
        }
        this.calls.set(method, (this.calls.get(method) ?? 0) + 1);
        const link = this.linkBack(to, from);
        const started = this.clock.now();
        const answer = this.deliver(from, to, method, params, link);
        const late = sleep(this.clock, timeout).then(() => undefined);
        const outcome = await Promise.race([answer, late]);
        if (outcome === undefined || this.clock.now() - started >= timeout) {
            return Result.err(failure(transportCodes.requestTimeout, "no answer"));
        }
        from.membership.recordHello(helloOf(to), address);
        return outcome;
    }

    private async deliver(
        from: SimulatedProcess,
        to: SimulatedProcess,
        method: string,
        params: unknown,
        link: Link,
    ): Promise<Outcome<unknown>> {
        await sleep(this.clock, hopLatency + from.slowness + to.slowness);
        if (this.isCut(from, to)) {
            return new Promise(() => undefined);
        }
        const handler: RpcMethod | undefined = to.node.methods()[method];
        const outcome = await handler?.(JSON.parse(JSON.stringify(params)) as unknown, link);
        await sleep(this.clock, hopLatency + from.slowness + to.slowness);
        return this.isCut(from, to) || outcome === undefined ? new Promise(() => undefined) : outcome;
    }

    private isCut(from: SimulatedProcess, to: SimulatedProcess): boolean {
        const pair = [from.host.dataCentre, to.host.dataCentre].sort().join(" ");
        return from.hung || to.hung || from.dead || to.dead || this.cuts.has(pair);
    }

    private linkBack(to: SimulatedProcess, from: SimulatedProcess): Link {
        const incarnation = `${to.name}#${to.incarnation}`;
        const { host, port } = from.host;
        const link: Pick<Link, "request" | "open" | "peer"> = {
            open: true,
            peer: helloOf(from),
            request: (method, params, timeout) => this.call(to, incarnation, { host, port }, method, params, timeout),
        };
        return link as Link;
    }
}

function helloOf(process: SimulatedProcess) {
    const { role, dataCentre } = process.host;
    const incarnation = `${process.name}#${process.incarnation}`;
    return { type: "hello" as const, protocol: 1, process: process.name, role, incarnation, dataCentre };
}

function storeDown<T>(): Outcome<T> {
    return Result.err(failure(platformCodes.storeUnavailable, "the store cannot be reached"));
}
