import { callByPool, ConfigurationNode, Membership, ResourceApi, ResourceStore, StoreLog } from "@waxwingspar/config";
import { DutyRunner, ordersDuty, readFence } from "@waxwingspar/control";
import { FileRecorder } from "@waxwingspar/history";
import { HttpLiveList, HttpObjectStore, HttpTableStore, PlatformConnection, StoreClient } from "@waxwingspar/platform";
import { createLogger } from "@waxwingspar/telemetry";
import { type Hello, protocolVersion, type RpcMethod, TcpLinkPool } from "@waxwingspar/transport";
import { type Clock, type Outcome, type Random, seededRandom, SystemClock, uniqueId } from "@waxwingspar/utils";
import { randomInt } from "node:crypto";
import { type Logger } from "pino";
import { RoleDuty } from "./RoleDuty.js";
import { type DaemonSettings } from "./settings.js";

const maxSeed = 0x7fff_ffff;
const leaseDuration = 3000;
const dutyInterval = 100;

/**
 * What an agent and an entry stand on: history, store, membership and configuration.
 *
 * @internal
 */
export class Foundation {
    readonly clock: Clock = new SystemClock();
    readonly random: Random = seededRandom(randomInt(maxSeed));
    readonly logger: Logger;
    readonly hello: Hello;
    readonly membership: Membership;
    readonly node: ConfigurationNode;
    readonly store: StoreClient;
    readonly objects: HttpObjectStore;
    /** Links of the configuration; agents and entries have their own for work. */
    readonly pool: TcpLinkPool;
    private readonly api: ResourceApi;
    private readonly duties: DutyRunner;

    private constructor(
        readonly settings: DaemonSettings,
        role: "agent" | "entry",
        readonly recorder: FileRecorder,
        incarnation: string,
    ) {
        const { name, dataCentre, region, links, credentials, log } = settings;
        const { clock, random } = this;
        this.logger = createLogger({ process: name, level: log.level });
        this.hello = { type: "hello", protocol: protocolVersion, process: name, role, incarnation, dataCentre };
        const { origin, readsPerSecond, writesPerSecond } = settings.platform;
        const connection = new PlatformConnection({ origin });
        const table = new HttpTableStore(connection);
        this.store = new StoreClient({ store: table, clock, random, readsPerSecond, writesPerSecond });
        this.objects = new HttpObjectStore(connection);
        const self = { process: name, role, ...links, dataCentre, region, incarnation };
        this.membership = new Membership({ self, clock });
        const methods: Record<string, RpcMethod> = {};
        this.pool = new TcpLinkPool({ hello: this.hello, credentials, clock, random, methods });
        const storeLog = new StoreLog(this.store);
        this.node = new ConfigurationNode({
            log: storeLog,
            liveList: new HttpLiveList(connection),
            membership: this.membership,
            call: callByPool(this.pool, this.membership),
            clock,
            random,
            record: recorder.record,
            seeds: settings.seeds,
        });
        Object.assign(methods, this.node.methods());
        const resources = new ResourceStore({
            log: storeLog,
            state: this.node.state,
            clock,
            random,
            record: recorder.record,
            onAccepted: entry => this.node.offer(entry),
        });
        const { host, port } = settings.operators;
        this.api = new ResourceApi({ node: this.node, store: resources, clock, allowAnonymous: true, host, port });
        const duty = new RoleDuty({ dataCentre, configuration: this.node, pool: this.pool, record: recorder.record });
        this.duties = new DutyRunner({
            store: this.store,
            clock,
            random,
            process: name,
            incarnation,
            duties: [duty],
            members: () =>
                this.membership.members().filter(({ state }) => state !== "unreachable")
                    .map(member => ({ ...member, leaving: member.state === "leaving" })),
            duration: leaseDuration,
            interval: dutyInterval,
        });
    }

    /** Reads the highest fence ever issued for the targets of this data centre. */
    readonly readFence = (): Promise<Outcome<number>> => readFence(this.store, ordersDuty(this.settings.dataCentre));

    static async open(settings: DaemonSettings, role: "agent" | "entry"): Promise<Foundation> {
        const incarnation = uniqueId();
        const recorder = await FileRecorder.open({
            clock: new SystemClock(),
            path: settings.history.file,
            process: settings.name,
            incarnation,
            target: role === "agent" ? settings.name : undefined,
        });
        if (recorder.isErr) {
            throw new Error(recorder.error.message);
        }
        return new Foundation(settings, role, recorder.value, incarnation);
    }

    /** Learns the configuration; to be called once the links listen. */
    async start(): Promise<void> {
        await this.node.start();
        const port = await this.api.listen();
        if (port.isErr) {
            throw new Error(port.error.message);
        }
        this.duties.start();
    }

    /** Gives up the duties, to be called when the process begins to leave. */
    leave(): Promise<unknown> {
        return Promise.all([this.duties.stop(), this.node.announceLeaving()]);
    }

    async close(): Promise<void> {
        this.node.stop();
        this.pool.close();
        await this.recorder.close();
    }
}
