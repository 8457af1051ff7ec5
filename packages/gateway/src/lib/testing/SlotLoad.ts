import { IndexedHeap } from "@waxwingspar/policy/scheduling";
import { ManualClock, type Random, seededRandom } from "@waxwingspar/utils";
import { SlotQueue, type SlotQueueOptions } from "../admission/SlotQueue.js";
import { type SlotDecision, type SlotRequest } from "../admission/SlotRequest.js";

/** Callers of one kind in a {@link SlotLoad}. */
export interface CallerClass {
    readonly kind: string;
    readonly rank: number;
    readonly organisation: string;
    /** Requests per second at a time in milliseconds. */
    readonly rate: (time: number) => number;
    /** Milliseconds after which a refused caller returns, if not when told. */
    readonly returnAfter?: number;
}

/** What one caller got. */
export interface CallerRecord {
    readonly type: CallerClass;
    readonly arrived: number;
    /** Each attempt's decision with its time. */
    readonly decisions: { readonly time: number; readonly decision: SlotDecision; }[];
}

/** Options of {@link playSlotLoad}. */
export interface SlotLoadOptions {
    readonly seed: number;
    readonly classes: readonly CallerClass[];
    /** Milliseconds of arrivals. */
    readonly duration: number;
    readonly heads?: readonly string[];
    /** Slots of a head at a time in milliseconds. */
    readonly room?: (head: string, time: number) => number;
    /** Shortest and longest time in milliseconds for which a request uses its slot. */
    readonly serviceTime?: readonly [number, number];
    readonly maxHold?: number;
    readonly timeLeft?: number;
    /** Number of times that a refused caller returns. */
    readonly returns?: number;
    readonly queue?: Partial<SlotQueueOptions>;
}

/** Mean requests per second that three heads of 134 slots serve when a stream takes 2 to 4 s. */
export const slotLoadCapacity = 3 * 134 / 3;

/** Highest rate of a {@link CallerClass}, in requests per second. */
const maxRate = 1_000;

/** Plays callers against a {@link SlotQueue} in virtual time. */
class SlotLoad {
    readonly clock = new ManualClock();
    readonly callers: CallerRecord[] = [];
    readonly queue: SlotQueue;
    private readonly random: Random;
    private readonly heads: readonly string[];
    private readonly inFlight = new Map<string, number>();
    /** Events by time. The clock, which searches all of its timers, has those of the queue only. */
    private readonly events = new IndexedHeap<() => void>();
    private scheduled = 0;

    constructor(private readonly options: SlotLoadOptions) {
        this.random = seededRandom(options.seed);
        this.heads = options.heads ?? ["a", "b", "c"];
        const { clock, random } = this;
        this.queue = new SlotQueue({ clock, random, freeSlots: head => this.freeSlots(head), ...options.queue });
    }

    play(): readonly CallerRecord[] {
        this.options.classes.forEach(type => this.scheduleNext(type));
        for (let due = this.events.lowestRank(); due < Infinity; due = this.events.lowestRank()) {
            this.clock.advance(due - this.clock.now());
            this.events.pop()!();
        }
        return this.callers;
    }

    private schedule(callback: () => void, delay: number): void {
        this.events.set(`${this.scheduled++}`, this.clock.now() + delay, callback);
    }

    private freeSlots(head: string): number {
        const room = this.options.room?.(head, this.clock.now()) ?? 134;
        return room - (this.inFlight.get(head) ?? 0);
    }

    /** Draws arrivals at the highest rate and drops some, so that the rate may change with time. */
    private scheduleNext(type: CallerClass): void {
        const delay = -Math.log(1 - this.random.next()) * 1_000 / maxRate;
        this.schedule(() => {
            if (this.clock.now() >= this.options.duration) {
                return;
            }
            if (this.random.next() * maxRate < type.rate(this.clock.now())) {
                const caller: CallerRecord = { type, arrived: this.clock.now(), decisions: [] };
                this.callers.push(caller);
                this.attempt(caller, `${this.callers.length}`);
            }
            this.scheduleNext(type);
        }, delay);
    }

    private attempt(caller: CallerRecord, digest: string): void {
        const { maxHold = 62, timeLeft = 20_000, returns = 1 } = this.options;
        const { kind, rank, organisation, returnAfter } = caller.type;
        const request: SlotRequest = {
            id: `${digest}/${caller.decisions.length}`,
            heads: this.heads,
            rank,
            organisation,
            kind,
            precedence: "waiting",
            maxHold,
            timeLeft: timeLeft - (this.clock.now() - caller.arrived),
            digest,
        };
        this.queue.offer(request, decision => {
            caller.decisions.push({ time: this.clock.now(), decision });
            if (decision.kind === "granted") {
                this.run(decision.head);
            }
            else if (caller.decisions.length <= returns) {
                this.schedule(() => this.attempt(caller, digest), returnAfter ?? decision.retryAfter);
            }
        });
    }

    private run(head: string): void {
        const [shortest, longest] = this.options.serviceTime ?? [2_000, 4_000];
        this.inFlight.set(head, (this.inFlight.get(head) ?? 0) + 1);
        this.schedule(() => {
            this.inFlight.set(head, this.inFlight.get(head)! - 1);
            this.queue.noteFreed(1);
            this.queue.update();
        }, shortest + (longest - shortest) * this.random.next());
    }
}

/** Plays callers against a {@link SlotQueue} in virtual time. @returns What each caller got. */
export function playSlotLoad(options: SlotLoadOptions): readonly CallerRecord[] {
    return new SlotLoad(options).play();
}

/** Whether a caller was served, at its first attempt or when it returned. */
export function isServed({ decisions }: CallerRecord): boolean {
    return decisions.some(({ decision }) => decision.kind === "granted");
}

/** Share of callers that were served. */
export function servedShare(callers: readonly CallerRecord[]): number {
    return callers.filter(isServed).length / Math.max(1, callers.length);
}
