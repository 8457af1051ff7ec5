import { type CacheEvent, type Engine } from "@waxwingspar/engine";
import { type Clock, type Failure, type Outcome, type Timer, transportCodes } from "@waxwingspar/utils";
import { guarded } from "../guarded.js";

/** Lost events below this number never make the cache count as unknown. */
const fewLostEvents = 16;
/** The share of the cache that lost events may have touched before it counts as unknown. */
const unknownShare = 0.25;
/** Milliseconds over which evictions are averaged. */
const memory = 30_000;
const minute = 60_000;
/** Reported shares are rounded to this, so that a report stays small. */
const precision = 1000;

/** @internal */
export interface CacheWatchOptions {
    readonly engine: Pick<Engine, "cacheEvents">;
    readonly clock: Clock;
    /** Milliseconds from one answer of the engine to the next question; 0 to ask nothing. */
    readonly interval: number;
}

/** What load reports say of the prefix cache. @internal */
export interface CacheReport {
    /** Changes when the cache was cleared, or when too many events were lost to know what is left of it. */
    readonly cacheGeneration?: number;
    /** The share of the cache that is evicted in a minute. */
    readonly cacheEvicted?: number;
}

interface EventCounts {
    /** Blocks that were stored and evicted. */
    stored: number;
    evicted: number;
    /** Events that came and that were lost. */
    seen: number;
    lost: number;
    wasCleared: boolean;
}

const noEvents: Readonly<EventCounts> = { stored: 0, evicted: 0, seen: 0, lost: 0, wasCleared: false };

/**
 * Follows the engine's cache events and condenses them to two numbers, since all events to all entries would be far too
 * many; docs/design/cache-feedback.md has the sum. It keeps counts alone, however large the cache is.
 *
 * @internal
 */
export class CacheWatch {
    private generation = 0;
    /** The last event seen. Asking for it again shows whether the engine still is the one that published it. */
    private last: CacheEvent | undefined;
    /** False until the events so far have been read, which say nothing new: at the start and after a restart. */
    private hasBaseline = false;
    private wasAsked = false;
    private wasDown = false;
    /** Blocks in the cache as far as the events tell; undefined when their beginning was not seen. */
    private held: number | undefined;
    /** Evicted blocks in a millisecond. */
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

    /** Empty until the engine has answered. */
    report(): CacheReport {
        if (!this.wasAsked) {
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
        const events = await guarded(() => this.options.engine.cacheEvents((this.last?.sequence ?? 1) - 1));
        this.timer = undefined;
        if (this.stopped) {
            return;
        }
        this.take(events);
        this.start();
    }

    private take(events: Outcome<CacheEvent[]>): void {
        if (events.isErr) {
            this.wasDown ||= isDown(events.error);
            return;
        }
        this.wasAsked = true;
        if (this.wasDown || !this.isContinued(events.value)) {
            this.restarted();
            return;
        }
        if (this.hasBaseline) {
            this.follow(this.last === undefined ? events.value : events.value.slice(1));
        }
        else {
            this.readBaseline(events.value);
        }
    }

    /** True if the event seen last is there still. If it is not, the engine has restarted or far too much was lost. */
    private isContinued([first]: readonly CacheEvent[]): boolean {
        const { last } = this;
        return last === undefined
            || (first !== undefined && first.sequence === last.sequence && isSameEvent(first, last));
    }

    /** The events of the new engine are read from their beginning, at the next question. */
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

    private follow(events: readonly CacheEvent[]): void {
        const counts = this.count(events);
        if (counts.wasCleared) {
            this.generation++;
            this.held = 0;
            this.evictionRate = 0;
        }
        // Lost events are taken to be of the same mix as those that came.
        const scale = counts.seen === 0 ? 1 : 1 + counts.lost / counts.seen;
        if (this.held !== undefined) {
            this.held = Math.max(0, this.held + (counts.stored - counts.evicted) * scale);
        }
        this.learnRate(counts.evicted * scale);
        const lostBlocks = (counts.stored + counts.evicted) * (scale - 1);
        if (counts.lost >= fewLostEvents && lostBlocks > unknownShare * (this.held ?? 0)) {
            this.generation++;
        }
    }

    /** Adds up events, from the last clearing on. */
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

    private learnRate(evicted: number): void {
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
