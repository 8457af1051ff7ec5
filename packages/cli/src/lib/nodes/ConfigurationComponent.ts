import { ConfigurationNode, createPoolCaller, Membership, ResourceStore, StoreLog } from "@waxwingspar/config";
import { type LiveList, type TableStore } from "@waxwingspar/stores";
import { type Address, type LinkPool, type RpcMethod } from "@waxwingspar/transport";
import { type NodeOptions } from "./NodeOptions.js";

/** @internal */
export interface ConfigurationComponentOptions extends NodeOptions {
    readonly role: "entry" | "agent";
    readonly store: TableStore;
    readonly liveList: LiveList;
    readonly pool: LinkPool;
    readonly seeds: readonly Address[];
}

/**
 * The components that keep a process informed of the configuration in force and of the other processes.
 *
 * @internal
 */
export class ConfigurationComponent {
    readonly membership: Membership;
    readonly node: ConfigurationNode;
    readonly resources: ResourceStore;

    constructor(options: ConfigurationComponentOptions) {
        const { clock, random, record, liveList, pool, seeds } = options;
        const { name: process, role, incarnation, dataCentre, region, links } = options;
        const self = { process, role, ...links, dataCentre, region, incarnation };
        this.membership = new Membership({ self, clock });
        const call = createPoolCaller(pool, this.membership);
        const log = new StoreLog(options.store);
        const { membership } = this;
        this.node = new ConfigurationNode({ log, liveList, membership, call, clock, random, record, seeds });
        const { state } = this.node;
        const onAccepted: ConfigurationNode["offer"] = entry => this.node.offer(entry);
        const findNewest: ConfigurationNode["findNewest"] = () => this.node.findNewest();
        this.resources = new ResourceStore({ log, state, clock, random, record, onAccepted, findNewest });
    }

    /** The JSON-RPC methods that are available to every peer. */
    methods(): Record<string, RpcMethod> {
        return this.node.methods();
    }

    /** Announces that this process leaves, and stops following changes. */
    async stop(): Promise<void> {
        await this.node.announceLeaving();
        this.node.stop();
    }
}
