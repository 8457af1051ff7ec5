import { MetricRegistry } from "@waxwingspar/telemetry";
import { type Random, seededRandom } from "@waxwingspar/utils";
import { type Configuration } from "../configuration/Configuration.js";
import { ConfigurationInForce } from "../configuration/ConfigurationInForce.js";
import { createConfigurationWatch } from "../configuration/createConfigurationWatch.js";
import { createTargetWatch } from "../directory/createTargetWatch.js";
import { incarnationOf, type Target } from "../directory/Target.js";
import { type DirectoryChange, TargetDirectory } from "../directory/TargetDirectory.js";
import { PlacementLease } from "../duty/PlacementLease.js";
import { GatewayMetrics } from "../observation/Observation.js";
import { watchRole } from "../peers/watchRole.js";
import { EraStore } from "../store/EraStore.js";
import { type Store, type StoreFailure } from "../store/Store.js";
import { StoreEras } from "../store/StoreEras.js";
import { silentLogs } from "./fixtures.js";
import { type SimulatedGateway, SimulatedGroup } from "./SimulatedGroup.js";
import { WatchedTable } from "./WatchedTable.js";

/** Options of {@link RestoringSite}. */
export interface RestoringSiteOptions {
    readonly seed: number;
    readonly dataCentres?: number;
    readonly gatewaysEach?: number;
}

/** One gateway's beliefs. */
export interface RestoringGateway {
    readonly group: SimulatedGateway;
    readonly configuration: ConfigurationInForce;
    readonly directory: TargetDirectory;
    readonly lease: PlacementLease;
    /** Calls to the store so far. */
    calls: number;
    /** The store turns it away. */
    isCut: boolean;
    /** Starts of targets that it knew to be gone. */
    readonly gone: Set<string>;
}

const configurationKey = "configuration";
const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
/** The site's promises, in milliseconds. */
const contactTime = 5_000;
const configurationTime = 4_000;
const drainTime = 4_000;
const maxConfirmationAge = 4_600;
/** Milliseconds within which operator and targets write again what a copy lacks. */
const rewriteTime = 2_000;
/** How old a copy is, and for how long the store is away before it comes back from it, in milliseconds. */
const copyAge = { least: 100, most: 4_000 };
const awayTime = { least: 0, most: 1_500 };

/**
 * Gateways that follow configuration and targets in a store that comes back from copies, while operators change the configuration and
 * its key, targets come and leave, gateways are cut off from the store, and the holder of the duty changes. Every version of the
 * configuration has a key of its own.
 */
export class RestoringSite {
    readonly group: SimulatedGroup;
    readonly table: WatchedTable;
    readonly gateways: RestoringGateway[];
    /** When each version of the configuration was acknowledged, on the clock. */
    readonly acknowledged: { readonly version: number; readonly at: number; }[] = [];
    /** Targets that live, by id. */
    readonly living = new Map<string, Target>();
    private readonly random: Random;
    /** What writers other than gateways wrote last, by key; undefined where they removed the row. */
    private readonly writes = new Map<string, unknown>();
    private starts = 0;

    constructor({ seed, dataCentres = 2, gatewaysEach = 3 }: RestoringSiteOptions) {
        this.random = seededRandom(seed + 900);
        this.group = new SimulatedGroup({ dataCentres, gatewaysEach, seed });
        this.table = new WatchedTable(this.group.clock);
        this.changeConfiguration();
        for (let target = 0; target < 6; target++) {
            this.startTarget(`t${target}`);
        }
        this.gateways = this.group.gateways.map(group => this.createGateway(group));
    }

    /** The newest version that was acknowledged. */
    get newestVersion(): number {
        return this.acknowledged.at(-1)?.version ?? 0;
    }

    /** Calls of all gateways so far. */
    get calls(): number {
        return this.gateways.reduce((sum, { calls }) => sum + calls, 0);
    }

    /** Does one thing that may happen, at random. */
    disturb(): void {
        const actions = [
            () => this.changeConfiguration(),
            () => this.changeConfiguration(),
            () => this.startTarget(`t${Math.floor(this.random.next() * 8)}`),
            () => this.leave(),
            () => this.leave(),
            () => this.cutGateway(),
            () => this.drill(),
            () => this.drill(),
        ];
        actions[Math.floor(this.random.next() * actions.length)]?.();
    }

    /** The operator writes another version, with another key. */
    changeConfiguration(): void {
        const version = this.newestVersion + 1;
        const organisations = [{ name: "o", keys: [`key-${version}`], priority: 0 }];
        const configuration: Configuration = { version, routes: [], services: [], organisations, limits };
        this.write(configurationKey, configuration);
        this.acknowledged.push({ version, at: this.group.clock.now() });
    }

    /** The store is away for a moment, and comes back from a copy. */
    drill(): void {
        const { clock } = this.group;
        this.table.saveCopy();
        clock.schedule(() => {
            this.table.setAway(true);
            clock.schedule(() => {
                this.table.restoreCopy();
                this.table.setAway(false);
                this.rewrite();
            }, this.draw(awayTime));
        }, this.draw(copyAge));
    }

    /** What the copy lacks is written again by those who wrote it, the newest of each key, at different moments. */
    private rewrite(): void {
        for (const [key, value] of this.writes) {
            if (this.table.value(key) !== value) {
                const delay = this.draw({ least: 0, most: rewriteTime });
                this.group.clock.schedule(() => this.table.put(key, this.writes.get(key)), delay);
            }
        }
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
        this.living.set(id, target);
        this.write(id, target);
    }

    private leave(): void {
        const ids = [...this.living.keys()];
        const id = ids[Math.floor(this.random.next() * ids.length)];
        if (id !== undefined && ids.length > 2) {
            this.living.delete(id);
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

    private createGateway(group: SimulatedGateway): RestoringGateway {
        const { clock } = this.group;
        const logs = silentLogs();
        const eras = new StoreEras();
        const observation = { logs, metrics: new GatewayMetrics(new MetricRegistry(clock)) };
        const store = new EraStore({ store: this.pathOf(() => gateway), eras, observation });
        const common = { clock, store, eras, contactTime, role: () => roleOf(group) };
        const configuration = new ConfigurationInForce({ clock, maxConfirmationAge });
        const directory = new TargetDirectory({
            clock,
            onChange: ({ kind, target }) => this.noteTarget(gateway, kind, target),
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
        const gateway: RestoringGateway = {
            group,
            configuration,
            directory,
            lease,
            calls: 0,
            isCut: false,
            gone: new Set(),
        };
        group.watch = createConfigurationWatch({
            ...common,
            table: "t",
            configurationTime,
            key: configurationKey,
            decode: document => document as Configuration,
            configuration,
            logger: logs.configuration,
            onChange: () => undefined,
        });
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
        group.tell(() => ({
            dutyTerm: lease.isHeld ? lease.term : undefined,
            mayTakeDuty: lease.mayAcquire && !gateway.isCut,
        }));
        void group.watch.run();
        void targets.run();
        lease.start();
        return gateway;
    }

    /** One that lives and was given up, because a gateway could not see its entry return, is not gone. */
    private noteTarget({ gone }: RestoringGateway, kind: DirectoryChange["kind"], target: Target): void {
        const start = incarnationOf(target);
        if (kind === "removed") {
            gone.add(start);
        }
        else if (kind === "added" && this.living.get(target.id)?.startedAt === target.startedAt) {
            gone.delete(start);
        }
    }

    /** The store as a gateway reaches it. */
    private pathOf(gateway: () => RestoringGateway): Store {
        const refused: StoreFailure = { kind: "unavailable", reason: "status 503" };
        const through = <T>(call: () => Promise<T>): Promise<T | StoreFailure> => {
            gateway().calls++;
            return gateway().isCut ? Promise.resolve(refused) : call();
        };
        return {
            read: () => through(() => this.table.read()),
            watch: (name, after, wait) => through(() => this.table.watch(name, after, wait)),
            write: change => through(() => this.table.write(change)),
        };
    }

    private draw({ least, most }: { readonly least: number; readonly most: number; }): number {
        return least + Math.floor(this.random.next() * (most - least));
    }
}

function roleOf({ exchange }: SimulatedGateway) {
    return watchRole({ isRelay: exchange.isRelay, hasFollowers: exchange.hasFollowers, hasDuty: false });
}
