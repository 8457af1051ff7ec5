import { type Tracer } from "@opentelemetry/api";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type Address, type Hello, type LinkCredentials, protocolVersion } from "@waxwingspar/transport";
import { type Clock, type Random, uniqueId } from "@waxwingspar/utils";
import { type Logger } from "pino";

/**
 * The options that every node of a site has in common.
 *
 * @internal
 */
export interface NodeOptions {
    /** The stable name of the process. */
    readonly name: string;
    readonly incarnation: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Where other processes reach this one; port 0 lets the operating system choose. */
    readonly links: Address;
    readonly credentials: LinkCredentials;
    readonly clock: Clock;
    readonly random: Random;
    readonly logger: Logger;
    readonly tracer: Tracer;
    readonly record: HistoryRecorder;
}

/** Creates the hello message of a node. @internal */
export function createHello(options: NodeOptions, role: Hello["role"]): Hello {
    const { name, incarnation, dataCentre } = options;
    return { type: "hello", protocol: protocolVersion, process: name, role, incarnation, dataCentre };
}

/** Creates the unique identifier of one run of a process. @internal */
export function createIncarnation(): string {
    return uniqueId();
}
