import { type Clock, type Outcome } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type LiveHost, type LiveList } from "../LiveList.js";
import { FaultInjector } from "./FaultInjector.js";

interface Snapshot {
    readonly time: number;
    readonly hosts: readonly LiveHost[];
}

/**
 * An in-memory live list for tests and trials. Reads return the state from `lag` milliseconds ago.
 *
 * @public
 */
export class MemoryLiveList implements LiveList {
    readonly faults: FaultInjector;
    /** The age of the list that reads return, in milliseconds. */
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
        this.recordSnapshot();
    }

    /** Removes the entry of a process. */
    remove(process: string): void {
        this.hosts.delete(process);
        this.recordSnapshot();
    }

    read(): Promise<Outcome<LiveHost[]>> {
        return this.faults.run("read", () => Result.ok(this.visibleHosts().map(host => ({ ...host }))));
    }

    private recordSnapshot(): void {
        this.snapshots.push({ time: this.clock.now(), hosts: [...this.hosts.values()] });
    }

    private visibleHosts(): readonly LiveHost[] {
        const newestVisible = this.clock.now() - this.lag;
        const index = this.snapshots.findLastIndex(snapshot => snapshot.time <= newestVisible);
        return this.snapshots[index]?.hosts ?? [];
    }
}
