import { MetricRegistry } from "@waxwingspar/telemetry";
import { type Random, seededRandom } from "@waxwingspar/utils";
import { type Configuration } from "../configuration/Configuration.js";
import { type ConfigurationInForce } from "../configuration/ConfigurationInForce.js";
import { ConfigurationKnowledge } from "../configuration/ConfigurationKnowledge.js";
import { createConfigurationWatch } from "../configuration/createConfigurationWatch.js";
import { createTargetWatch } from "../directory/createTargetWatch.js";
import { incarnationOf, type Target } from "../directory/Target.js";
import { type DirectoryChange, TargetDirectory } from "../directory/TargetDirectory.js";
import { PlacementLease } from "../duty/PlacementLease.js";
import { GatewayMetrics } from "../observation/Observation.js";
import { chooseWatchRole } from "../peers/chooseWatchRole.js";
import { EraStore } from "../store/EraStore.js";
import { type Store, type StoreFailure } from "../store/Store.js";
import { StoreEras } from "../store/StoreEras.js";
import { silentLogs } from "./fixtures.js";
import { type SimulatedGateway, SimulatedGroup } from "./SimulatedGroup.js";
import { SimulatedStore } from "./SimulatedStore.js";

/** Options of {@link RestoredStoreSite}. */
export interface RestoredStoreSiteOptions {
    readonly seed: number;
    readonly dataCentres?: number;
    readonly gatewaysEach?: number;
}

/** A simulated gateway with its view of the store. */
export interface RestoredStoreGateway {
    readonly group: SimulatedGateway;
    readonly configuration: ConfigurationInForce;
    readonly directory: TargetDirectory;
    readonly lease: PlacementLease;
    /** Number of calls to the store. */
    calls: number;
    /** Whether the store refuses its calls. */
    isCut: boolean;
    /** Incarnations of targets that it has seen removed. */
    readonly removedIncarnations: Set<string>;
}

const configurationKey = "configuration";
const membersTable = "gateways";
const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
/** The platform's bounds, in milliseconds. */
const contactTime = 5_000;
const configurationTime = 4_000;
const drainTime = 4_000;
const maxConfirmationAge = 4_600;
/** Longest time in milliseconds until operator and targets rewrite rows that a restored copy lacks. */
const rewriteTime = 2_000;
/** Bounds of the age of a copy when the store fails, and of the outage before the copy is restored, in milliseconds. */
const copyAge = { least: 100, most: 4_000 };
const outageTime = { least: 0, most: 1_500 };

/**
 * Simulated gateways that watch configuration and targets in a store which is restored from copies, while operators
 * change the configuration and its key, targets are added and removed, gateways lose contact to the store, and the
 * holder of the placement lease changes. Every version of the configuration has its own key.
 */
export class RestoredStoreSite {
    readonly group: SimulatedGroup;
    readonly table: SimulatedStore;
    readonly gateways: RestoredStoreGateway[];
    /** When the store acknowledged each version of the configuration. */
    readonly acknowledged: { readonly version: number; readonly at: number; }[] = [];
    /** Targets that are running, by id. */
    readonly runningTargets = new Map<string, Target>();
    /** The table of gateways. */
    private readonly members: SimulatedStore;
    private readonly stores: readonly SimulatedStore[];
    private readonly random: Random;
    /** The last value that operator or target wrote, by key; undefined if the row was removed. */
    private readonly writes = new Map<string, unknown>();
    private starts = 0;

    constructor({ seed, dataCentres = 2, gatewaysEach = 3 }: RestoredStoreSiteOptions) {
        this.random = seededRandom(seed + 900);
        this.group = new SimulatedGroup({ dataCentres, gatewaysEach, seed });
        this.table = new SimulatedStore(this.group.clock);
        this.members = new SimulatedStore(this.group.clock);
        this.stores = [this.table, this.members];
        this.changeConfiguration();
        for (let target = 0; target < 6; target++) {
            this.startTarget(`t${target}`);
        }
        this.gateways = this.group.gateways.map(group => this.createGateway(group));
    }

    /** The newest acknowledged version of the configuration. */
    get newestVersion(): number {
        return this.acknowledged.at(-1)?.version ?? 0;
    }

    /** Number of calls that all gateways have made to the store. */
    get calls(): number {
        return this.gateways.reduce((sum, { calls }) => sum + calls, 0);
    }

    /** Injects one random event. */
    injectRandomEvent(): void {
        const actions = [
            () => this.changeConfiguration(),
            () => this.changeConfiguration(),
            () => this.startTarget(`t${Math.floor(this.random.next() * 8)}`),
            () => this.removeTarget(),
            () => this.removeTarget(),
            () => this.cutGateway(),
            () => this.failAndRestore(),
            () => this.failAndRestore(),
        ];
        actions[Math.floor(this.random.next() * actions.length)]?.();
    }

    /** Writes the next version of the configuration, with a new key. */
    changeConfiguration(): void {
        const version = this.newestVersion + 1;
        const organisations = [{ name: "o", keys: [`key-${version}`], priority: 0 }];
        const configuration: Configuration = { version, routes: [], services: [], organisations, limits };
        this.write(configurationKey, configuration);
        this.acknowledged.push({ version, at: this.group.clock.now() });
    }

    /** Takes a copy of the store, and after a short outage restores it. */
    failAndRestore(): void {
        const { clock } = this.group;
        this.saveCopy();
        clock.schedule(() => {
            this.leave();
            clock.schedule(() => this.comeBack(), this.draw(outageTime));
        }, this.draw(copyAge));
    }

    /** Saves the copy that {@link RestoredStoreSite.comeBack} restores. */
    saveCopy(): void {
        this.stores.forEach(store => store.saveCopy());
    }

    /** Takes the store away. */
    leave(): void {
        this.stores.forEach(store => store.setDown(true));
    }

    /**
     * Restores the copy. The newest value of each row that differs from the copy is written again.
     *
     * @param rewriteDelay - Milliseconds until a row is written again.
     */
    comeBack(rewriteDelay: (key: string) => number = () => this.draw({ least: 0, most: rewriteTime })): void {
        for (const store of this.stores) {
            store.restoreCopy();
            store.setDown(false);
        }
        for (const [key, value] of this.writes) {
            if (this.table.value(key) !== value) {
                this.group.clock.schedule(() => this.table.put(key, this.writes.get(key)), rewriteDelay(key));
            }
        }
    }

    /** Starts another gateway. */
    startGateway(dataCentre = 0): RestoredStoreGateway {
        const group = this.group.add(dataCentre, this.group.gateways.length);
        this.group.introduce(group);
        const gateway = this.createGateway(group);
        this.gateways.push(gateway);
        return gateway;
    }

    /** Kills a gateway. */
    kill(gateway: RestoredStoreGateway): void {
        gateway.isCut = true;
        gateway.group.isDown = true;
        this.gateways.splice(this.gateways.indexOf(gateway), 1);
    }

    private startTarget(id: string): void {
        const target: Target = {
            id,
            startedAt: ++this.starts,
            service: "s",
            host: "10.0.0.1",
            port: 80,
            dataCentre: "x",
            state: "ready",
        };
        this.runningTargets.set(id, target);
        this.write(id, target);
    }

    /** Removes a target, by default one at random. */
    removeTarget(wanted?: string): void {
        const ids = [...this.runningTargets.keys()];
        const id = wanted ?? ids[Math.floor(this.random.next() * ids.length)];
        if (id !== undefined && ids.length > 2) {
            this.runningTargets.delete(id);
            this.write(id, undefined);
        }
    }

    private cutGateway(): void {
        const gateway = this.gateways[Math.floor(this.random.next() * this.gateways.length)];
        if (gateway !== undefined) {
            gateway.isCut = true;
            this.group.clock.schedule(() => {
                gateway.isCut = false;
            }, this.draw({ least: 500, most: 4_000 }));
        }
    }

    private write(key: string, value: unknown): void {
        this.writes.set(key, value);
        this.table.put(key, value);
    }

    private createGateway(group: SimulatedGateway): RestoredStoreGateway {
        const { clock } = this.group;
        const logs = silentLogs();
        const eras = new StoreEras();
        const observation = { logs, metrics: new GatewayMetrics(new MetricRegistry(clock)) };
        const store = new EraStore({ store: this.createGatewayStore(() => gateway), eras, observation });
        const common = { clock, store, eras, contactTime, role: () => roleOf(group) };
        const knowledge = new ConfigurationKnowledge({
            clock,
            random: this.random,
            store,
            eras,
            process: group.name,
            address: { host: group.name, port: 1 },
            dataCentre: group.dataCentre,
            maxConfirmationAge,
            logger: logs.configuration,
        });
        const { configuration } = knowledge;
        const directory = new TargetDirectory({
            clock,
            onChange: ({ kind, target }) => this.recordRemoval(gateway, kind, target),
        });
        const lease = new PlacementLease({
            clock,
            store,
            eras,
            process: group.name,
            incarnation: "1",
            peers: group.exchange,
            logger: logs.duty,
        });
        const gateway: RestoredStoreGateway = {
            group,
            configuration,
            directory,
            lease,
            calls: 0,
            isCut: false,
            removedIncarnations: new Set(),
        };
        group.watch = createConfigurationWatch({
            ...common,
            table: "t",
            configurationTime,
            key: configurationKey,
            decode: document => document as Configuration,
            configuration,
            observation,
            onChange: () => undefined,
            onConfirmed: () => knowledge.noteConfirmed(),
        });
        group.tellConfiguration(() => knowledge.known, known => knowledge.hear(known));
        const targets = createTargetWatch({
            ...common,
            table: "t",
            directory,
            drainTime,
            decode: (id, document) =>
                /^t\d/.test(id)
                    ? { kind: "target", target: document as Target }
                    : { kind: "unusable", reason: "not a target" },
            logger: logs.directory,
        });
        group.overrideState(() => ({
            dutyTerm: lease.isHeld ? lease.term : undefined,
            mayTakeDuty: lease.mayAcquire && !gateway.isCut,
        }));
        void group.watch.run();
        void targets.run();
        knowledge.start();
        void knowledge.rows.register();
        lease.start();
        return gateway;
    }

    /**
     * Records removed incarnations. A running target may be dropped while its entry cannot be read; once it is added
     * again it no longer counts as removed.
     */
    private recordRemoval(
        { removedIncarnations }: RestoredStoreGateway,
        kind: DirectoryChange["kind"],
        target: Target,
    ): void {
        const start = incarnationOf(target);
        if (kind === "removed") {
            removedIncarnations.add(start);
        }
        else if (kind === "added" && this.runningTargets.get(target.id)?.startedAt === target.startedAt) {
            removedIncarnations.delete(start);
        }
    }

    /** The store as seen by one gateway, which may be cut off from it. */
    private createGatewayStore(gateway: () => RestoredStoreGateway): Store {
        const refused: StoreFailure = { kind: "unavailable", reason: "status 503" };
        const storeOf = (name: string) => name === membersTable ? this.members : this.table;
        const callUnlessCut = <T>(call: () => Promise<T>): Promise<T | StoreFailure> => {
            gateway().calls++;
            return gateway().isCut ? Promise.resolve(refused) : call();
        };
        return {
            read: name => callUnlessCut(() => storeOf(name).read()),
            watch: (name, after, wait) => callUnlessCut(() => storeOf(name).watch(name, after, wait)),
            write: change => callUnlessCut(() => storeOf(change.table).write(change)),
        };
    }

    private draw({ least, most }: { readonly least: number; readonly most: number; }): number {
        return least + Math.floor(this.random.next() * (most - least));
    }
}

function roleOf({ exchange }: SimulatedGateway) {
    return chooseWatchRole({ isRelay: exchange.isRelay, hasFollowers: exchange.hasFollowers, hasDuty: false });
}
