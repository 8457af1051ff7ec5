import { type Random, seededRandom } from "@waxwingspar/utils";
import { type Configuration } from "../configuration/Configuration.js";
import { ConfigurationInForce } from "../configuration/ConfigurationInForce.js";
import { createConfigurationWatch } from "../configuration/createConfigurationWatch.js";
import { chooseWatchRole } from "../peers/chooseWatchRole.js";
import { type StoredRow } from "../store/Store.js";
import { type PeerSnapshot } from "../store/TableWatchOptions.js";
import { silentObservation } from "./fixtures.js";
import { NarrowStore } from "./NarrowStore.js";
import { type SimulatedGateway, SimulatedGroup } from "./SimulatedGroup.js";
import { type SimulatedLink, SimulatedLinks } from "./SimulatedLinks.js";
import { SimulatedStore } from "./SimulatedStore.js";

/** Options of {@link ConfigurationSite}. */
export interface ConfigurationSiteOptions {
    readonly dataCentres?: number;
    readonly gatewaysEach?: number;
    readonly seed?: number;
    /** Bytes a millisecond of the store's own link. */
    readonly storeRate?: number;
    /** Bytes a millisecond of a gateway's link. */
    readonly linkRate?: (index: number) => number;
    /** Milliseconds of the bound within which a configuration must be in force. */
    readonly configurationTime?: number;
    /** Whether gateways read a version from peers of their data centre before they ask the store. */
    readonly hasPeerCopies?: boolean;
    /** Number of gateways of the last data centre that are not started yet. */
    readonly notStarted?: number;
}

/** A gateway of a {@link ConfigurationSite}. */
export interface ConfigurationReader {
    readonly gateway: SimulatedGateway;
    readonly link: SimulatedLink;
    readonly configuration: ConfigurationInForce;
    /** The row of its configuration, which it hands on. */
    row: StoredRow | undefined;
    /** Whether the store turns its calls away. */
    isRefused: boolean;
    /** Since when, on the clock, nothing has disturbed it. */
    calmSince: number;
    hasStarted: boolean;
    /** How many times the store began to send each version to it. */
    readonly documents: Map<number, number>;
}

interface Publication {
    readonly version: number;
    readonly bytes: number;
    readonly at: number;
}

const key = "c";
const contactTime = 4_000;
const keyRevocation = 4_600;
const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
/** Bytes a millisecond of all peers' links together, and the share of its size to which a copy is compressed. */
const peerRate = 20_000;
const compression = 0.05;
const peerTimeout = 500;
/** Milliseconds until a gateway learns of a version: the longest wait, the timeout of a silent call, and a repeat. */
const noticeTime = 4_000;

/** Gateways that follow the configuration of a store over links of limited bandwidth. */
export class ConfigurationSite {
    readonly group: SimulatedGroup;
    readonly table: SimulatedStore;
    readonly readers: ConfigurationReader[];
    readonly random: Random;
    /** Milliseconds by which the store's answers are late. */
    answerDelay = 0;
    private readonly published: Publication[] = [];
    private readonly links: SimulatedLinks;
    private readonly peerLinks: SimulatedLinks;
    private readonly options: Required<ConfigurationSiteOptions>;

    constructor(options: ConfigurationSiteOptions = {}) {
        this.options = {
            dataCentres: 2,
            gatewaysEach: 4,
            seed: 1,
            storeRate: 100_000,
            linkRate: () => 10_000,
            configurationTime: 3_000,
            notStarted: 0,
            hasPeerCopies: true,
            ...options,
        };
        const { dataCentres, gatewaysEach, seed, storeRate, notStarted } = this.options;
        this.random = seededRandom(seed);
        this.group = new SimulatedGroup({ dataCentres, gatewaysEach, seed, startSpread: 200 });
        this.table = new SimulatedStore(this.group.clock);
        this.links = new SimulatedLinks(this.group.clock, storeRate);
        this.peerLinks = new SimulatedLinks(this.group.clock, peerRate);
        this.publish(1_000);
        this.readers = this.group.gateways.map((gateway, index) => this.createReader(gateway, index));
        this.readers.forEach((reader, index) => {
            reader.gateway.isDown = index >= this.readers.length - notStarted;
            if (!reader.gateway.isDown) {
                this.start(reader);
            }
        });
    }

    get version(): number {
        return this.published.length;
    }

    /** Writes a new version whose document has the given size. */
    publish(bytes: number): void {
        const version = this.published.length + 1;
        this.published.push({ version, bytes, at: this.group.clock.now() });
        const configuration: Configuration = {
            version,
            routes: [],
            services: [],
            organisations: [{ name: "o", keys: ["k"] }],
            limits,
        };
        this.table.put(key, configuration);
    }

    /** Starts a gateway that is not running yet. */
    start(reader: ConfigurationReader): void {
        const { gateway, configuration } = reader;
        gateway.isDown = false;
        reader.hasStarted = true;
        reader.calmSince = this.group.clock.now();
        gateway.watch = createConfigurationWatch({
            clock: this.group.clock,
            store: this.createStore(reader),
            random: this.random,
            table: "t",
            key,
            decode: document => document as Configuration,
            configuration,
            observation: silentObservation(this.group.clock),
            contactTime,
            configurationTime: this.options.configurationTime,
            readFromPeers: this.options.hasPeerCopies ? version => this.readFromPeer(reader, version) : undefined,
            onRow: row => {
                reader.row = row;
            },
            onChange: () => undefined,
            role: () => {
                const { isRelay, hasFollowers } = gateway.exchange;
                return chooseWatchRole({ isRelay, hasFollowers, hasDuty: false });
            },
        });
        void gateway.watch.run();
    }

    /** Marks a disturbance of a gateway that ends now. */
    disturb(reader: ConfigurationReader): void {
        reader.calmSince = this.group.clock.now();
    }

    /** Makes every open connection to the store fall silent; later calls use new ones. */
    silenceConnections(): void {
        this.table.silenceConnections();
        this.links.silence();
        this.readers.forEach(reader => this.disturb(reader));
    }

    /** @param check - Called every 100 ms. */
    run(duration: number, check?: () => void): Promise<void> {
        return this.group.runAsync(duration, check);
    }

    /**
     * Gateways that lack a version which had been written, and they had been in contact, for longer than the bound that
     * follows from its size, the rates and the number of gateways.
     */
    listLate(): string[] {
        const now = this.group.clock.now();
        return this.readers.filter(({ hasStarted }) => hasStarted).flatMap(reader => {
            const { configuration: { current }, calmSince, gateway } = reader;
            const known = current?.version ?? 0;
            const late = this.published.find(({ version, at }) =>
                version > known && now - Math.max(at, calmSince) > this.bound(reader, version)
            );
            return late === undefined ? [] : [`${gateway.name} has ${known}, lacks ${late.version}`];
        });
    }

    /** Running gateways that accept no credentials, because their configuration was not confirmed for too long. */
    listUnconfirmed(): string[] {
        return this.readers
            .filter(({ hasStarted, configuration }) => hasStarted && !configuration.mayAcceptCredentials)
            .map(({ gateway, configuration }) => `${gateway.name}: ${configuration.confirmationAge} ms`);
    }

    /** The most times that the store began to send one version to one gateway. */
    get mostDocuments(): number {
        return Math.max(...this.readers.flatMap(({ documents }) => [...documents.values()]));
    }

    /** Number of documents that the store began to send to one gateway. */
    countAllDocuments({ documents }: ConfigurationReader): number {
        return [...documents.values()].reduce((sum, count) => sum + count, 0);
    }

    /** Documents that the store began to send for each gateway and version after the first. */
    get documentsPerVersion(): number {
        const sent = this.readers.flatMap(({ documents }) =>
            [...documents].flatMap(([version, count]) => version === 1 ? [] : count)
        );
        return sent.reduce((sum, count) => sum + count, 0) / this.readers.length / (this.published.length - 1);
    }

    /** Milliseconds: two transfers of the largest document so far, since one that has begun is not broken off. */
    private bound({ link }: ConfigurationReader, version: number): number {
        const { storeRate } = this.options;
        const largest = Math.max(...this.published.slice(0, version).map(({ bytes }) => bytes));
        const transfer = largest * this.readers.length / storeRate + largest / link.rate;
        return noticeTime + 2 * (transfer + this.answerDelay);
    }

    private createReader(gateway: SimulatedGateway, index: number): ConfigurationReader {
        const { clock } = this.group;
        return {
            gateway,
            link: { rate: this.options.linkRate(index) },
            configuration: new ConfigurationInForce({ clock, maxConfirmationAge: keyRevocation }),
            row: undefined,
            isRefused: false,
            calmSince: 0,
            hasStarted: false,
            documents: new Map(),
        };
    }

    private createStore(reader: ConfigurationReader): NarrowStore {
        return new NarrowStore({
            clock: this.group.clock,
            table: this.table,
            links: this.links,
            link: reader.link,
            sizeOf: row => this.sizeOf(row),
            delay: () => this.answerDelay,
            isRefused: () => reader.isRefused,
            onRows: rows => this.countDocuments(reader, rows),
        });
    }

    /** A transfer from a peer that has the version, which fails if that peer is gone when it would have ended. */
    private readFromPeer(reader: ConfigurationReader, version: number): Promise<PeerSnapshot | undefined> {
        const { dataCentre } = reader.gateway;
        const holders = this.readers.filter(({ gateway, row }) =>
            gateway.dataCentre === dataCentre && !gateway.isDown && (row?.version ?? 0) >= version
        );
        const holder = holders[Math.floor(this.random.next() * holders.length)];
        const { clock } = this.group;
        return new Promise(resolve => {
            const row = holder?.row;
            if (row === undefined) {
                clock.schedule(() => resolve(undefined), peerTimeout);
                return;
            }
            const bytes = this.sizeOf(row) * compression;
            this.peerLinks.start({
                link: reader.link,
                bytes,
                onProgress: () => undefined,
                onEnd: () =>
                    resolve(
                        holder?.gateway.isDown === true ? undefined : {
                            rows: [row],
                            version: row.version,
                            encoded: Buffer.alloc(0),
                            progress: { bytes, headAfter: 0, duration: 0 },
                        },
                    ),
            });
        });
    }

    private sizeOf({ value }: StoredRow): number {
        return this.published[(value as Configuration).version - 1]?.bytes ?? 0;
    }

    private countDocuments({ documents }: ConfigurationReader, rows: readonly StoredRow[]): void {
        for (const { value } of rows) {
            const { version } = value as Configuration;
            documents.set(version, (documents.get(version) ?? 0) + 1);
        }
    }
}
