import { type DestinationStream, type Logger, pino } from "pino";

/** The log levels, from the most to the least verbose. @public */
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
    /** The name of the process, as in its settings; absent if several run in one and child loggers name them. */
    readonly process?: string;
    /** The component that logs, put before each message; absent if the messages name it themselves. */
    readonly part?: string;
    /** Default `info`. */
    readonly level?: LogLevel;
    /** Where lines are written; default standard output. */
    readonly destination?: DestinationStream;
}

const secretFields = ["authorization", "token", "secret", "secrets", "password", "credentials", "keys", "psk"];

/** Paths of the fields that are redacted: at the top level of a line and one or two levels below. */
const redacted = ["", "*.", "*.*."].flatMap(prefix => secretFields.map(field => `${prefix}${field}`));

/**
 * Creates a logger that writes JSON lines with secrets redacted. It writes in this thread, without a pino transport.
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
