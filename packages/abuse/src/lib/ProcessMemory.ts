import { readdirSync, readFileSync, readlinkSync } from "node:fs";

const bytesPerKilobyte = 1_024;

/** @returns The largest resident memory that a process has had, in bytes. */
export function peakMemory(pid: number): number {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) * bytesPerKilobyte;
}

/** @returns The number of sockets that a process has open. */
export function openSockets(pid: number): number {
    const folder = `/proc/${pid}/fd`;
    return readdirSync(folder).filter(name => linkOf(`${folder}/${name}`).startsWith("socket:")).length;
}

/** A descriptor may be closed while it is looked at. */
function linkOf(path: string): string {
    try {
        return readlinkSync(path);
    }
    catch {
        return "";
    }
}
