import { MemoryLiveList, MemoryTableStore } from "@waxwingspar/stores";
import { type Hello, LinkServer, protocolVersion, type RpcMethod, TcpLinkPool } from "@waxwingspar/transport";
import { seededRandom, sleep, SystemClock, uniqueId } from "@waxwingspar/utils";
import { AsyncLocalStorage } from "node:async_hooks";
import { subscribe } from "node:diagnostics_channel";
import { type Socket } from "node:net";
import { ConfigurationNode, type ConfigurationNodeOptions } from "../lib/distribution/ConfigurationNode.js";
import { createPoolCaller } from "../lib/distribution/NodeContext.js";
import { Membership } from "../lib/membership/Membership.js";
import { StoreLog } from "../lib/revisions/StoreLog.js";
import { ResourceStore } from "../lib/store/ResourceStore.js";
import { parseDesired } from "../lib/validation/parseDesired.js";

const credentials = { insecure: true } as const;
const settleTime = 4000;

/** A simulated process of the site: a configuration node with its own sockets. */
export interface LoopbackProcess {
    readonly name: string;
    readonly dataCentre: string;
    readonly node: ConfigurationNode;
    readonly store: ResourceStore;
    readonly membership: Membership;
    readonly close: () => Promise<void>;
    /** Sockets that this process opened. */
    readonly sockets: Set<Socket>;
    /** Runs when a revision is put in force. */
    onApplied: (revision: number) => void;
}

/** The sockets of the process whose code is running, so that new sockets are attributed to it. */
const owner = new AsyncLocalStorage<Set<Socket>>();
subscribe("net.client.socket", message => owner.getStore()?.add((message as { socket: Socket; }).socket));

/** Many configuration nodes in one operating-system process, connected by real TCP links over loopback. */
export class LoopbackSite {
    readonly clock = new SystemClock();
    readonly table = new MemoryTableStore({ clock: this.clock });
    readonly liveList = new MemoryLiveList({ clock: this.clock, lag: 1000 });
    readonly processes: LoopbackProcess[] = [];
    /** The number of failed calls between processes. */
    failedCalls = 0;
    private changes = 0;

    constructor(private readonly options: Partial<ConfigurationNodeOptions> & { readonly offers?: boolean; } = {}) {}

    /**
     * Starts processes, distributed over data centres.
     *
     * @param settle - Milliseconds to wait for the processes to find their parents.
     */
    async start(count: number, centres: number, settle = settleTime): Promise<void> {
        const names = Array.from({ length: count }, (_unused, index) => `p${index}`);
        await Promise.all(names.map((name, index) => this.startProcess(name, `dc${index % centres}`)));
        await sleep(this.clock, settle);
    }

    /** Starts one process. It replaces an earlier process with the same name. */
    async startProcess(name: string, dataCentre: string): Promise<LoopbackProcess> {
        const incarnation = uniqueId();
        const sockets = new Set<Socket>();
        const methods: Record<string, RpcMethod> = {};
        const hello: Hello = {
            type: "hello",
            protocol: protocolVersion,
            process: name,
            role: "agent",
            incarnation,
            dataCentre,
        };
        const server = new LinkServer({ hello, credentials, methods, clock: this.clock });
        const address = await server.listen();
        if (address.isErr) {
            throw new Error(address.error.message);
        }
        const place = { process: name, role: "agent" as const, ...address.value, dataCentre, region: "r" };
        const membership = new Membership({ self: { ...place, incarnation }, clock: this.clock });
        const pool = new TcpLinkPool({ hello, credentials, methods, clock: this.clock });
        const call = createPoolCaller(pool, membership);
        const shared = { log: new StoreLog(this.table), clock: this.clock, random: seededRandom(place.port) };
        const record = (event: { event: string; revision?: number; }) => {
            if (event.event === "config.applied") {
                created.onApplied(event.revision ?? 0);
            }
        };
        const node = new ConfigurationNode({
            ...shared,
            membership,
            liveList: this.liveList,
            record,
            call: async (...asked) => {
                const answer = await owner.run(sockets, () => call(...asked));
                this.failedCalls += answer.isErr ? 1 : 0;
                return answer;
            },
            ...this.options,
        });
        Object.assign(methods, node.methods());
        const onAccepted = this.options.offers === false ? undefined : node.offer.bind(node);
        const store = new ResourceStore({ ...shared, state: node.state, onAccepted });
        const close = () => this.stopProcess(node, pool, server);
        const created: LoopbackProcess = {
            name,
            dataCentre,
            node,
            store,
            membership,
            close,
            sockets,
            onApplied: () => undefined,
        };
        this.liveList.set({ ...place, state: "live" });
        const index = this.processes.findIndex(one => one.name === name);
        this.processes.splice(index < 0 ? this.processes.length : index, index < 0 ? 0 : 1, created);
        await node.start();
        return created;
    }

    /** Sends a change to a process and returns its revision. */
    async change(process: LoopbackProcess): Promise<number> {
        const number = this.changes++;
        const spec = { timeout: number + 1, nonIdempotent: [{ method: "POST", path: "/orders/*" }] };
        const desired = parseDesired({ kind: "service", name: `service-${number % 50}`, spec });
        const accepted = await process.store.apply(desired.isOk ? [desired.value] : [], { changeId: uniqueId() });
        if (accepted.isErr) {
            throw new Error(accepted.error[0]?.message);
        }
        return accepted.value.revision;
    }

    /** Bytes that each process sent and received on links that it opened, so that each link is counted once. */
    linkBytes(): number[] {
        return this.processes.map(({ sockets }) =>
            [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0)
        );
    }

    /** Bytes that each process sent and received on all its links, including those that it accepted. */
    totalBytes(): number[] {
        const own = this.linkBytes();
        const ports = new Map(this.processes.map((process, index) => [process.membership.self.port, index]));
        const total = [...own];
        for (const { sockets } of this.processes) {
            for (const socket of sockets) {
                const index = ports.get(socket.remotePort ?? 0);
                if (index !== undefined) {
                    total[index] = (total[index] ?? 0) + socket.bytesRead + socket.bytesWritten;
                }
            }
        }
        return total;
    }

    async stop(): Promise<void> {
        await Promise.all(this.processes.map(process => process.close()));
    }

    private async stopProcess(node: ConfigurationNode, pool: TcpLinkPool, server: LinkServer): Promise<void> {
        node.stop();
        pool.close();
        await server.close();
    }
}
