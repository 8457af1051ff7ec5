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

/** Reads per second while the claims of a partition are taken over. 32 owners at once stay below the store's 2,000. */
const takeoverReadsPerSecond = 50;

/**
 * How long a process waits before it asks a store that failed again. Only readers, owners of claims and holders of a
 * duty call the store steadily, some hundred processes in all, so that a short pause costs it little.
 */
const breakerPause = { base: 250, cap: 2000 };

/** Settings that entry and agent have in common. @internal */
export type DaemonSettings = Settings<"entry"> | Settings<"agent">;

/**
 * What every daemon makes of its settings before its own parts: clock, logs, traces, history, and the way to the
 * platform.
 *
 * @internal
 */
export class DaemonBase {
    readonly random: Random = seededRandom(randomInt(maxSeed));
    readonly registry: MetricRegistry;
    readonly logger: Logger;
    readonly store: StoreClient;
    /** The way of claims to the store: claims never wait for the calls of anything else, nor hold them up. */
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

    /** Creates the common parts; fails if the history file cannot be written. */
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

    /** Takes the events of this process. */
    get record(): HistoryRecorder {
        return this.recorder?.record ?? (() => undefined);
    }

    /** What the nodes of this process are made from. */
    get nodeOptions(): NodeOptions {
        const { name, dataCentre, region, links, credentials } = this.settings;
        const { incarnation, clock, random, logger, record } = this;
        const { tracer } = this.tracing;
        return { name, incarnation, dataCentre, region, links, credentials, clock, random, logger, tracer, record };
    }

    /** Ends what was made here, after everything that uses it. */
    async close(): Promise<void> {
        await this.platform.close();
        await this.tracing.shutdown();
        const closed = await this.recorder?.close();
        if (closed?.isErr === true) {
            this.logger.error({ code: closed.error.code.number }, `history: ${closed.error.message}`);
        }
    }
}
