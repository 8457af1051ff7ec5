import { type DestinationStream, type Logger, pino } from "pino";

/** The levels of logs, from the most to the least. @public */
export const logLevels = ["debug", "info", "warn", "error", "silent"] as const;

/**
 * One of {@link logLevels}.
 *
 * @public
 */
export type LogLevel = typeof logLevels[number];

/**
 * Options of {@link createLogger}.
 *
 * @public
 */
export interface LoggerOptions {
    /** The name of the process, as in its settings; absent where several run in one, and child loggers name them. */
    readonly process?: string;
    /** The part of the system that writes, put before each sentence; absent where the sentences name it themselves. */
    readonly part?: string;
    /** Default `info`. */
    readonly level?: LogLevel;
    /** Where lines go; by default standard output. */
    readonly destination?: DestinationStream;
}

const secretFields = ["authorization", "token", "secret", "secrets", "password", "credentials", "keys", "psk"];

/** Fields that are never written, at the top of a line and one or two levels below. */
const redacted = ["", "*.", "*.*."].flatMap(prefix => secretFields.map(field => `${prefix}${field}`));

/**
 * Creates the logger of a part: JSON lines, secrets left out. It writes in this thread and starts no transport.
 *
 * @example
 * ```ts
 * const logger = createLogger({ process: "entry-1", part: "transport" });
 * logger.info({ peer }, "link opened");
 * ```
 * @public
 */
export function createLogger(options: LoggerOptions): Logger {
    const settings = {
        level: options.level ?? "info",
        base: options.process === undefined ? undefined : { process: options.process },
        msgPrefix: options.part === undefined ? undefined : `${options.part}: `,
        redact: { paths: redacted, censor: "[redacted]" },
    };
    return options.destination === undefined ? pino(settings) : pino(settings, options.destination);
}
