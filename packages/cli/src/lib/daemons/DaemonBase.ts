import { FileRecorder, type HistoryRecorder } from "@waxwingspar/history";
import {
    HttpLiveList,
    HttpObjectStore,
    HttpTableStore,
    type LiveList,
    type ObjectStore,
    PlatformConnection,
    StoreClient,
} from "@waxwingspar/stores";
import { createLogger, createTracing, MetricRegistry, type Tracing } from "@waxwingspar/telemetry";
import { type Clock, type Outcome, type Random, seededRandom, SystemClock } from "@waxwingspar/utils";
import { randomInt } from "node:crypto";
import { type Logger } from "pino";
import { Result } from "true-myth";
import { createIncarnation, type NodeOptions } from "../nodes/NodeOptions.js";
import { type Settings } from "../settings/loadSettings.js";

const maxSeed = 0x7fff_ffff;

/** Reads per second during the takeover of a partition of claims: 32 concurrent owners stay below the store's 2,000. */
const takeoverReadsPerSecond = 50;

/**
 * Milliseconds of back-off before a process calls a failing store again. Only readers, claim owners and duty holders
 * call the store steadily, about a hundred processes in total, so a short back-off adds little load.
 */
const breakerPause = { base: 250, cap: 2000 };

/** Settings of an entry or an agent. @internal */
export type DaemonSettings = Settings<"entry"> | Settings<"agent">;

/**
 * What all daemons create from their settings before their own components: clock, logs, traces, history and the
 * clients of the platform's services.
 *
 * @internal
 */
export class DaemonBase {
    readonly random: Random = seededRandom(randomInt(maxSeed));
    readonly registry: MetricRegistry;
    readonly logger: Logger;
    readonly store: StoreClient;
    /** A separate store client for claims, so that claims and other store calls do not delay each other. */
    readonly claimStore: StoreClient;
    readonly objects: ObjectStore;
    readonly liveList: LiveList;
    private readonly tracing: Tracing;
    private readonly platform: PlatformConnection;

    private constructor(
        private readonly settings: DaemonSettings,
        readonly clock: Clock,
        private readonly recorder: FileRecorder | undefined,
        private readonly incarnation: string,
    ) {
        const { name, log, tracing, platform } = settings;
        this.registry = new MetricRegistry(clock);
        this.logger = createLogger({ process: name, level: log.level });
        this.tracing = createTracing({ process: name, ...tracing });
        this.platform = new PlatformConnection({ origin: platform.origin });
        const table = new HttpTableStore(this.platform);
        const common = { store: table, clock, random: this.random, breakerPause };
        this.store = new StoreClient({ ...platform, ...common });
        this.claimStore = new StoreClient({
            readsPerSecond: takeoverReadsPerSecond,
            writesPerSecond: platform.claimWritesPerSecond,
            ...common,
        });
        this.objects = new HttpObjectStore(this.platform);
        this.liveList = new HttpLiveList(this.platform);
    }

    /** Creates the common components; fails if the history file cannot be opened. */
    static async create(settings: DaemonSettings): Promise<Outcome<DaemonBase>> {
        const clock = new SystemClock();
        const incarnation = createIncarnation();
        if (settings.history === undefined) {
            return Result.ok(new DaemonBase(settings, clock, undefined, incarnation));
        }
        const opened = await FileRecorder.open({
            clock,
            path: settings.history.file,
            process: settings.name,
            incarnation,
            target: settings.role === "agent" ? settings.name : undefined,
        });
        return opened.map(recorder => new DaemonBase(settings, clock, recorder, incarnation));
    }

    /** Records the history events of this process; does nothing if no history file is configured. */
    get record(): HistoryRecorder {
        return this.recorder?.record ?? (() => undefined);
    }

    /** The options from which the nodes of this process are created. */
    get nodeOptions(): NodeOptions {
        const { name, dataCentre, region, links, credentials } = this.settings;
        const { incarnation, clock, random, logger, record } = this;
        const { tracer } = this.tracing;
        return { name, incarnation, dataCentre, region, links, credentials, clock, random, logger, tracer, record };
    }

    /** Closes the common components. Must be called after all their users have stopped. */
    async close(): Promise<void> {
        await this.platform.close();
        await this.tracing.shutdown();
        const closed = await this.recorder?.close();
        if (closed?.isErr === true) {
            this.logger.error({ code: closed.error.code.number }, `history: ${closed.error.message}`);
        }
    }
}
