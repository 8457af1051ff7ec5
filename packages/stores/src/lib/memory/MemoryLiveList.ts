import { type Clock, type Outcome } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type LiveHost, type LiveList } from "../LiveList.js";
import { FaultInjector } from "./FaultInjector.js";

interface Snapshot {
    readonly time: number;
    readonly hosts: readonly LiveHost[];
}

/**
 * A stand-in for the platform's live list: what it shows is as old as its lag.
 *
 * @public
 */
export class MemoryLiveList implements LiveList {
    readonly faults: FaultInjector;
    /** How old the list is that readers see, in milliseconds. */
    lag: number;
    private readonly clock: Clock;
    private readonly hosts = new Map<string, LiveHost>();
    private snapshots: Snapshot[] = [];

    constructor(options: { readonly clock: Clock; readonly lag?: number; }) {
        this.clock = options.clock;
        this.lag = options.lag ?? 0;
        this.faults = new FaultInjector(options.clock);
    }

    /** Adds a host, or replaces the entry of the same process. */
    set(host: LiveHost): void {
        this.hosts.set(host.process, { ...host });
        this.remember();
    }

    /** Removes the entry of a process. */
    remove(process: string): void {
        this.hosts.delete(process);
        this.remember();
    }

    read(): Promise<Outcome<LiveHost[]>> {
        return this.faults.run("read", () => Result.ok(this.visible().map(host => ({ ...host }))));
    }

    private remember(): void {
        this.snapshots.push({ time: this.clock.now(), hosts: [...this.hosts.values()] });
    }

    private visible(): readonly LiveHost[] {
        const moment = this.clock.now() - this.lag;
        const index = this.snapshots.findLastIndex(snapshot => snapshot.time <= moment);
        return this.snapshots[index]?.hosts ?? [];
    }
}
