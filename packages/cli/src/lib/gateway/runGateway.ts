import {
    Gateway,
    LogDestination,
    type Logs,
    MetricsServer,
    type MetricsServerOptions,
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
    /** Names of the mechanisms to disable, separated by commas. */
    readonly without?: string;
    /** A server that already listens for callers. */
    readonly callerListener?: Server;
    readonly logLevel?: LogLevel;
    readonly environment?: NodeJS.ProcessEnv;
}

/** Upper bound of the random seed. A large range is needed, since small seeds give similar first random numbers. */
const seedBound = 2 ** 47;
const anyAddress = "0.0.0.0";

/**
 * Runs a gateway on the users' platform until SIGTERM, then until its last answer has ended.
 *
 * @returns The exit code.
 * @throws Error if the settings are invalid, the gateway cannot listen on an address, or it loses one for good.
 */
export async function runGateway(options: GatewayRunOptions = {}): Promise<number> {
    const clock = new SystemClock();
    const settings = readSettings(options.environment ?? process.env);
    const logs = createLogs(settings.process, options.logLevel);
    const registry = new MetricRegistry(clock);
    let onLost: (error: Error) => void = () => undefined;
    const lost = new Promise<Error>(resolve => {
        onLost = resolve;
    });
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
        onLost,
    });
    const stopped = stopOnSignal(logs, () => gateway.stop());
    process.on("SIGHUP", () => validateSettings(logs, options.environment ?? process.env));
    process.on("uncaughtException", error => logs.process.error({ error: error.stack }, "uncaught exception"));
    await startOrStop(gateway);
    if (options.metricsPort !== undefined) {
        await startMetrics({ clock, address: { host: anyAddress, port: options.metricsPort }, registry }, logs);
    }
    const error = await Promise.race([stopped, lost]);
    if (error !== undefined) {
        logs.process.error({ error: error.message }, "a part that the gateway needs is lost");
        await gateway.stop();
    }
    await flushLogs(clock);
    if (error !== undefined) {
        throw error;
    }
    return 0;
}

/** Starts a gateway. If a part cannot start, stops the others, so that the process ends. */
async function startOrStop(gateway: Gateway): Promise<void> {
    try {
        await gateway.start();
    }
    catch (error) {
        await gateway.stop();
        throw error;
    }
}

function createLogs(name: string, level: LogLevel = "info"): Logs {
    const logger = createLogger({ process: name, level, destination: new LogDestination() });
    const createPartLogger = (part: string) => logger.child({}, { msgPrefix: `${part}: ` });
    return {
        requests: createPartLogger("request"),
        configuration: createPartLogger("configuration"),
        directory: createPartLogger("directory"),
        chains: createPartLogger("chains"),
        limits: createPartLogger("limits"),
        targets: createPartLogger("targets"),
        duty: createPartLogger("duty"),
        peers: createPartLogger("peers"),
        process: createPartLogger("process"),
    };
}

/** Stops on the first signal. Further ones change nothing, as the stop has its own limit. */
function stopOnSignal(logs: Logs, stop: () => Promise<void>): Promise<undefined> {
    return new Promise(resolve => {
        let isStopping = false;
        process.on("SIGTERM", signal => {
            logs.process.info({ signal, isStopping }, "signal received");
            if (!isStopping) {
                isStopping = true;
                void stop()
                    .catch((error: unknown) => logs.process.error({ error: String(error) }, "error in a stop"))
                    .then(() => resolve(undefined));
            }
        });
    });
}

/** Reads the settings only to report whether they are still valid; a running process never applies changed settings. */
function validateSettings(logs: Logs, environment: NodeJS.ProcessEnv): void {
    try {
        readSettings(environment);
        logs.process.info("settings read again; changes take effect at the next start");
    }
    catch (error) {
        logs.process.error({ error: String(error) }, "settings cannot be read; the current settings stay in effect");
    }
}

async function startMetrics(options: MetricsServerOptions, logs: Logs): Promise<void> {
    try {
        await new MetricsServer(options).start();
    }
    catch (error) {
        logs.process.error({ error: String(error), address: options.address }, "metrics cannot be served");
    }
}

/** Waits until the last log lines have been written. */
function flushLogs(clock: Clock): Promise<void> {
    const delay = 60;
    return new Promise(resolve => void clock.schedule(resolve, delay));
}
