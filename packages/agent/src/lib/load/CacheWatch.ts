import { type CacheEvent, type Engine } from "@waxwingspar/engine";
import { type Clock, type Failure, type Outcome, type Timer, transportCodes } from "@waxwingspar/utils";
import { callEngine } from "../callEngine.js";

/** Minimum number of lost events at which the state of the cache can count as unknown. */
const minLostEvents = 16;
/** The share of the cache that lost events may affect before its state counts as unknown. */
const unknownShare = 0.25;
/** Milliseconds over which evictions are averaged. */
const memory = 30_000;
const minute = 60_000;
/** Reported shares are rounded to multiples of 1 / precision, to keep reports small. */
const precision = 1000;

/** @internal */
export interface CacheWatchOptions {
    readonly engine: Pick<Engine, "cacheEvents">;
    readonly clock: Clock;
    /** Milliseconds from an answer of the engine to the next poll; 0 disables polling. */
    readonly interval: number;
}

/** The part of load reports that describes the prefix cache. @internal */
export interface CacheReport {
    /** Changes when the cache is cleared, or when too many events were lost to know its content. */
    readonly cacheGeneration?: number;
    /** The share of the cache that is evicted per minute. */
    readonly cacheEvicted?: number;
}

interface EventCounts {
    /** Numbers of blocks that were stored and evicted. */
    stored: number;
    evicted: number;
    /** Numbers of events that were received and lost. */
    seen: number;
    lost: number;
    wasCleared: boolean;
}

const noEvents: Readonly<EventCounts> = { stored: 0, evicted: 0, seen: 0, lost: 0, wasCleared: false };

/**
 * Polls the engine's cache events and condenses them to two numbers, since sending all events to all entries would cost
 * far too much; docs/design/cache-feedback.md has the calculation. It stores only counters, for a cache of any
 * size.
 *
 * @internal
 */
export class CacheWatch {
    private generation = 0;
    /** The last event received. Polls include it again, which shows whether the engine has restarted since. */
    private last: CacheEvent | undefined;
    /** False at the start and after a restart, until the backlog of events has been read, which is not a change. */
    private hasBaseline = false;
    private hasAnswered = false;
    private wasDown = false;
    /** Number of cached blocks according to the events; undefined if their beginning was missed. */
    private held: number | undefined;
    /** Evicted blocks per millisecond. */
    private evictionRate = 0;
    private countedAt = 0;
    private timer: Timer | undefined;
    private stopped = false;

    constructor(private readonly options: CacheWatchOptions) {}

    start(): void {
        const { clock, interval } = this.options;
        if (!this.stopped && interval > 0) {
            this.timer ??= clock.schedule(() => void this.poll(), interval);
        }
    }

    stop(): void {
        this.stopped = true;
        this.timer?.cancel();
        this.timer = undefined;
    }

    /** Returns an empty report until the engine has answered. */
    report(): CacheReport {
        if (!this.hasAnswered) {
            return {};
        }
        const { generation: cacheGeneration, held } = this;
        if (held === undefined) {
            return { cacheGeneration };
        }
        const share = this.evictionRate * minute / Math.max(1, held);
        return { cacheGeneration, cacheEvicted: Math.round(share * precision) / precision };
    }

    private async poll(): Promise<void> {
        const events = await callEngine(() => this.options.engine.cacheEvents((this.last?.sequence ?? 1) - 1));
        this.timer = undefined;
        if (this.stopped) {
            return;
        }
        this.handleAnswer(events);
        this.start();
    }

    private handleAnswer(events: Outcome<CacheEvent[]>): void {
        if (events.isErr) {
            this.wasDown ||= isDown(events.error);
            return;
        }
        this.hasAnswered = true;
        if (this.wasDown || !this.isSameEventLog(events.value)) {
            this.restarted();
            return;
        }
        if (this.hasBaseline) {
            this.applyEvents(this.last === undefined ? events.value : events.value.slice(1));
        }
        else {
            this.readBaseline(events.value);
        }
    }

    /** Whether the last event is still in the log. If not, the engine has restarted or too many events were lost. */
    private isSameEventLog([first]: readonly CacheEvent[]): boolean {
        const { last } = this;
        return last === undefined
            || (first !== undefined && first.sequence === last.sequence && isSameEvent(first, last));
    }

    /** Resets the state after a restart of the engine. The next poll reads the new log from its beginning. */
    private restarted(): void {
        this.wasDown = false;
        this.hasBaseline = false;
        this.last = undefined;
        this.held = undefined;
        this.evictionRate = 0;
        this.generation++;
    }

    private readBaseline(events: readonly CacheEvent[]): void {
        this.hasBaseline = true;
        this.countedAt = this.options.clock.now();
        this.held = (events[0]?.sequence ?? 1) === 1 ? 0 : undefined;
        const { stored, evicted, wasCleared } = this.count(events);
        if (wasCleared || this.held !== undefined) {
            this.held = Math.max(0, stored - evicted);
        }
    }

    private applyEvents(events: readonly CacheEvent[]): void {
        const counts = this.count(events);
        if (counts.wasCleared) {
            this.generation++;
            this.held = 0;
            this.evictionRate = 0;
        }
        // Assumes that lost events have the same distribution as received ones.
        const scale = counts.seen === 0 ? 1 : 1 + counts.lost / counts.seen;
        if (this.held !== undefined) {
            this.held = Math.max(0, this.held + (counts.stored - counts.evicted) * scale);
        }
        this.updateEvictionRate(counts.evicted * scale);
        const lostBlocks = (counts.stored + counts.evicted) * (scale - 1);
        if (counts.lost >= minLostEvents && lostBlocks > unknownShare * (this.held ?? 0)) {
            this.generation++;
        }
    }

    /** Counts events, starting after the last one that cleared the cache. */
    private count(events: readonly CacheEvent[]): EventCounts {
        let counts = { ...noEvents };
        for (const event of events) {
            const { kind, blocks, sequence } = event;
            const lost = this.last === undefined ? 0 : Math.max(0, sequence - this.last.sequence - 1);
            this.last = event;
            if (kind === "cleared") {
                counts = { ...noEvents, wasCleared: true };
                continue;
            }
            counts[kind] += blocks.length;
            counts.seen++;
            counts.lost += lost;
        }
        return counts;
    }

    private updateEvictionRate(evicted: number): void {
        const now = this.options.clock.now();
        const passed = now - this.countedAt;
        this.countedAt = now;
        if (passed > 0) {
            this.evictionRate += (evicted / passed - this.evictionRate) * (1 - Math.exp(-passed / memory));
        }
    }
}

function isSameEvent(one: CacheEvent, other: CacheEvent): boolean {
    return one.kind === other.kind && one.blocks.length === other.blocks.length && one.blocks[0] === other.blocks[0];
}

function isDown({ code }: Failure): boolean {
    return code === transportCodes.notConnected || code === transportCodes.connectionLost;
}
