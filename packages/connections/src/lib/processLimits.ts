import { readFileSync } from "node:fs";
import { totalmem } from "node:os";

/** What a process may use; by default the memory of the machine and the descriptors that the operating system allows. @public */
export interface ProcessLimits {
    /** Megabytes of memory. */
    readonly maxMemory?: number;
    /** Open sockets. */
    readonly maxSockets?: number;
}

/** What the clients of a process may occupy. @public */
export interface ClientLimits {
    /** Bytes for all clients together. */
    readonly bytes: number;
    /** Connections of callers; each may need another one to a target. */
    readonly connections: number;
    /** Connections at each port for probes, metrics and the like. */
    readonly sideConnections: number;
}

const bytesPerMegabyte = 1_000_000;
/** Share of the memory for clients; a process needs up to half of a small machine for itself, and some to work in. */
const clientShare = 0.2;
const maxClientBytes = 268_435_456;
/** Share of the sockets for callers and the requests sent on for them; the rest is for store, peers, targets and probes. */
const callerShare = 0.75;
const sideShare = 1 / 64;
const sideConnections = { least: 8, most: 64 };
/** Descriptors of a process that are not for sockets. */
const fileDescriptors = 64;
/** Descriptors that POSIX systems usually allow. */
const usualDescriptors = 1_024;

/** Divides what a process may use. @public */
export function clientLimits({ maxMemory, maxSockets }: ProcessLimits = {}): ClientLimits {
    const memory = maxMemory === undefined ? totalmem() : maxMemory * bytesPerMegabyte;
    const sockets = maxSockets ?? readDescriptorLimit() - fileDescriptors;
    const { least, most } = sideConnections;
    return {
        bytes: Math.min(memory * clientShare, maxClientBytes),
        connections: Math.floor(sockets * callerShare / 2),
        sideConnections: Math.floor(Math.min(most, Math.max(least, sockets * sideShare))),
    };
}

/** @returns The soft limit of this process on open descriptors. */
function readDescriptorLimit(): number {
    try {
        const [, limit] = /^Max open files\s+(\S+)/m.exec(readFileSync("/proc/self/limits", "utf8")) ?? [];
        return limit === "unlimited" ? Infinity : Number(limit ?? usualDescriptors);
    }
    catch {
        return usualDescriptors;
    }
}
