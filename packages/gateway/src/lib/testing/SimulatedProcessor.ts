import { type Random } from "@waxwingspar/utils";
import { LoopUtilization } from "../observation/LoopUtilization.js";
import { ConcurrencyLimit } from "../server/ConcurrencyLimit.js";

/** Requests of one kind. Times are in milliseconds of a whole processor. */
export interface SimulatedWork {
    /** Processor time to read and begin a request. */
    readonly begin: number;
    /** Processor time of each event of its answer. */
    readonly event: number;
    readonly events: number;
    /** Time between two events. */
    readonly interval: number;
}

interface RunningRequest {
    readonly work: SimulatedWork;
    /** Work in the queue, counted from the start, that must be done before the request has begun. */
    readonly begunAt: number;
    /** Time of its next event once it has begun. */
    nextEvent: number | undefined;
    eventsLeft: number;
}

/** What happened in one second of a {@link SimulatedProcessor}. */
export interface ProcessorSecond {
    arrived: number;
    dropped: number;
    completed: number;
    /** Largest number of requests in progress. */
    open: number;
}

const step = 5;
const adjustInterval = 100;
const millisecondsPerSecond = 1_000;
/** Processor time to close a connection without reading its request. */
const dropCost = 0.1;
/** Connections that wait to be accepted, and that one turn of the event loop accepts, at most. */
const backlog = 128;
const acceptsPerTurn = 64;

/** A process with a part of a processor, which works through its input in order, and its {@link ConcurrencyLimit}. */
export class SimulatedProcessor {
    readonly seconds: ProcessorSecond[] = [];
    private readonly limit: ConcurrencyLimit;
    private readonly utilization: LoopUtilization;
    private readonly times = { idle: 0, active: 0 };
    private running: RunningRequest[] = [];
    private now = 0;
    private queued = 0;
    private done = 0;
    /** Work in the queue, counted from the start, whose end ends the present turn of the event loop. */
    private turnEnd = 0;
    private readonly waiting: SimulatedWork[] = [];

    constructor(private readonly random: Random) {
        this.utilization = new LoopUtilization(() => ({ ...this.times }));
        this.limit = new ConcurrencyLimit({
            utilization: () => this.utilization.value,
            open: () => this.running.length,
        });
    }

    /** Lets requests arrive at random times, with a part of a processor for them. */
    run(seconds: number, { rate, share, kinds }: {
        readonly rate: number;
        readonly share: number;
        readonly kinds: readonly SimulatedWork[];
    }): void {
        const end = this.now + seconds * millisecondsPerSecond;
        while (this.now < end) {
            this.arrive(rate, kinds);
            this.work(share);
            this.now += step;
            if (this.now % adjustInterval === 0) {
                this.utilization.sample();
                this.limit.adjust();
            }
        }
    }

    private get second(): ProcessorSecond {
        const index = Math.floor(this.now / millisecondsPerSecond);
        return this.seconds[index] ??= { arrived: 0, dropped: 0, completed: 0, open: 0 };
    }

    private arrive(rate: number, kinds: readonly SimulatedWork[]): void {
        const expected = rate * step / millisecondsPerSecond;
        const count = Math.floor(expected) + (this.random.next() < expected % 1 ? 1 : 0);
        for (let index = 0; index < count; index++) {
            this.second.arrived++;
            if (this.waiting.length < backlog) {
                this.waiting.push(kinds[Math.floor(this.random.next() * kinds.length)]!);
            }
            else {
                this.second.dropped++;
            }
        }
        if (this.done >= this.turnEnd) {
            this.waiting.splice(0, acceptsPerTurn).forEach(work => this.accept(work));
            this.turnEnd = this.queued;
        }
        this.second.open = Math.max(this.second.open, this.running.length);
    }

    private accept(work: SimulatedWork): void {
        if (this.limit.isFull) {
            this.second.dropped++;
            this.queued += dropCost;
            return;
        }
        this.queued += work.begin;
        this.running.push({ work, begunAt: this.queued, nextEvent: undefined, eventsLeft: work.events });
    }

    private work(share: number): void {
        const spent = Math.min(step * share, this.queued - this.done);
        this.done += spent;
        this.times.active += spent / share;
        this.times.idle += step - spent / share;
        for (const request of this.running) {
            const { work, begunAt } = request;
            if (request.nextEvent === undefined && this.done >= begunAt) {
                request.nextEvent = this.now + work.interval;
            }
            while (request.nextEvent !== undefined && request.nextEvent <= this.now && request.eventsLeft > 0) {
                request.eventsLeft--;
                request.nextEvent += work.interval;
                this.queued += work.event;
            }
        }
        const before = this.running.length;
        this.running = this.running.filter(({ eventsLeft }) => eventsLeft > 0);
        this.second.completed += before - this.running.length;
    }
}
