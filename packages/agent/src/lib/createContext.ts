import { trace } from "@opentelemetry/api";
import { SystemClock } from "@waxwingspar/utils";
import { pino } from "pino";
import { type AgentOptions } from "./Agent.js";
import { type AgentContext } from "./AgentContext.js";
import { defaultAgentSettings } from "./AgentSettings.js";
import { AttemptTable } from "./AttemptTable.js";
import { HeldModels } from "./HeldModels.js";
import { SessionTable } from "./kv/SessionTable.js";
import { LinkWatch } from "./LinkWatch.js";
import { CacheWatch } from "./load/CacheWatch.js";
import { LoadMeter } from "./load/LoadMeter.js";
import { EngineActivity } from "./stage/EngineActivity.js";

/** Creates the components and settings that the parts of an agent share. @internal */
export function createContext(options: AgentOptions): AgentContext {
    const { target, engine, pool, queue, configuration } = options;
    const clock = options.clock ?? new SystemClock();
    const settings = { ...defaultAgentSettings, ...options.settings };
    const links = new LinkWatch();
    const held = new HeldModels(engine);
    const cache = new CacheWatch({ engine, clock, interval: settings.cachePollInterval });
    return {
        target,
        clock,
        engine,
        pool,
        queue,
        configuration,
        settings,
        links,
        held,
        record: options.record ?? (() => undefined),
        log: options.log ?? pino({ enabled: false }),
        tracer: options.tracer ?? trace.getTracer("waxwingspar.agent"),
        metrics: options.metrics ?? {},
        sessions: new SessionTable(engine, clock, settings.retainCache),
        table: new AttemptTable({ clock, limit: settings.finishedRequests, retention: settings.finishedRetention }),
        cache,
        load: new LoadMeter({
            target,
            clock,
            queue,
            links,
            slots: () => held.slots,
            cache: () => cache.report(),
            interval: settings.loadInterval,
            bytesPerSecond: settings.loadBytesPerSecond,
        }),
        activity: new EngineActivity({ engine, clock, answerTime: settings.engineAnswerTime }),
    };
}
