import {
    type Address,
    Gateway,
    LogDestination,
    type Logs,
    MetricsServer,
    parseDisabledMechanisms,
} from "@waxwingspar/gateway";
import {
    decodeConfiguration,
    decodeTarget,
    engineOrders,
    HttpStore,
    platformTables,
    readCallerRequest,
    readReplyHead,
    readSettings,
    writeDispatchHeaders,
} from "@waxwingspar/platform";
import { createLogger, type LogLevel, MetricRegistry } from "@waxwingspar/telemetry";
import { type Clock, seededRandom, SystemClock, uniqueId } from "@waxwingspar/utils";
import { randomInt } from "node:crypto";
import { type Server } from "node:net";

/** Options of {@link runGateway}. */
export interface GatewayRunOptions {
    /** The port for metrics, on all addresses of the host. */
    readonly metricsPort?: number;
    /** Names of mechanisms to run without, separated by commas. */
    readonly without?: string;
    /** A server that listens for callers already. */
    readonly callerListener?: Server;
    readonly logLevel?: LogLevel;
    readonly environment?: NodeJS.ProcessEnv;
}

/** Seeds of the random source are drawn below this bound; small seeds give alike first draws. */
const seedBound = 2 ** 47;
const anyAddress = "0.0.0.0";

/**
 * Runs a gateway on the users' platform until SIGTERM, and then until its last answer has ended.
 *
 * @returns The exit code.
 * @throws Error when the settings are wrong or an address cannot be listened on.
 */
export async function runGateway(options: GatewayRunOptions = {}): Promise<number> {
    const clock = new SystemClock();
    const settings = readSettings(options.environment ?? process.env);
    const logs = createLogs(settings.process, options.logLevel);
    const registry = new MetricRegistry(clock);
    const gateway = new Gateway({
        settings,
        clock,
        random: seededRandom(randomInt(seedBound)),
        incarnation: uniqueId(),
        store: new HttpStore(settings.store),
        tables: { ...platformTables, decodeConfiguration, decodeTarget },
        wire: { readCallerRequest, writeDispatchHeaders, readReplyHead },
        engines: engineOrders,
        logs,
        registry,
        callerListener: options.callerListener,
        isOn: parseDisabledMechanisms(options.without ?? ""),
    });
    const stopped = stopOnSignal(logs, () => gateway.stop());
    process.on("SIGHUP", () => reloadSettings(logs, options.environment ?? process.env));
    process.on("uncaughtException", error => logs.process.error({ error: error.stack }, "uncaught exception"));
    await gateway.start();
    if (options.metricsPort !== undefined) {
        await startMetrics({ host: anyAddress, port: options.metricsPort }, registry, logs);
    }
    await stopped;
    await flushLogs(clock);
    return 0;
}

function createLogs(name: string, level: LogLevel = "info"): Logs {
    const logger = createLogger({ process: name, level, destination: new LogDestination() });
    const ofPart = (part: string) => logger.child({}, { msgPrefix: `${part}: ` });
    return {
        requests: ofPart("request"),
        configuration: ofPart("configuration"),
        directory: ofPart("directory"),
        chains: ofPart("chains"),
        duty: ofPart("duty"),
        peers: ofPart("peers"),
        process: ofPart("process"),
    };
}

function stopOnSignal(logs: Logs, stop: () => Promise<void>): Promise<void> {
    return new Promise(resolve => {
        process.once("SIGTERM", signal => {
            logs.process.info({ signal }, "signal received");
            void stop().then(resolve);
        });
    });
}

/** What the settings hold is fixed for the life of a process; they are read again to tell whether they are still valid. */
function reloadSettings(logs: Logs, environment: NodeJS.ProcessEnv): void {
    try {
        readSettings(environment);
        logs.process.info("settings read again");
    }
    catch (error) {
        logs.process.error({ error: String(error) }, "settings cannot be read; the present ones stay");
    }
}

async function startMetrics(address: Address, registry: MetricRegistry, logs: Logs): Promise<void> {
    try {
        await new MetricsServer(address, registry).start();
    }
    catch (error) {
        logs.process.error({ error: String(error), address }, "metrics cannot be served");
    }
}

/** Lets the last lines out. */
function flushLogs(clock: Clock): Promise<void> {
    const delay = 60;
    return new Promise(resolve => void clock.schedule(resolve, delay));
}
