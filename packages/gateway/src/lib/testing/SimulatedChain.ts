import { type Random } from "@waxwingspar/utils";
import { timedTestEngine } from "./timedFixtures.js";

/** A stream on a simulated chain. */
export interface SimulatedStream {
    readonly arrivedAt: number;
    readonly prompt: number;
    readonly events: number;
    /** Data centres of the gateway and of the chain. */
    readonly from: string;
    readonly to: string;
    readonly onFirst: (taken: number) => void;
    readonly onInterval: (interval: number) => void;
    readonly onEnd: () => void;
    firstTaken?: number;
    /** The longest interval between two events. */
    longest?: number;
    endedAt?: number;
}

/** Options of {@link SimulatedChain}. */
export interface SimulatedChainOptions {
    readonly dataCentre: string;
    readonly hops: readonly { readonly accelerator: string; readonly layers: number; }[];
    readonly random: Random;
    /** Requests that wait beyond those that have a slot. */
    readonly maxQueue?: number;
    /** Factor of its intervals. */
    readonly hiddenFactor?: number;
}

interface RunningStream {
    readonly stream: SimulatedStream;
    left: number;
    dueAt: number;
    lastAt: number;
}

const slots = 134;
const defaultMaxQueue = 67;
/** Milliseconds between data centres, there and back. */
const remoteDelay = 0.6;
/** Part of an interval by which it varies at random. */
const jitter = 0.1;
/** Milliseconds of which the use by prefill is averaged. */
const useWindow = 1_000;
const maxUse = 0.8;

/**
 * The times of a chain, on purpose by another model than `chainTimes`: half a pass of waiting at each hop, two thirds of
 * the requests in a pass, prompts one after the other, and intervals that grow with prefill. It is within the ranges
 * that were measured.
 */
export class SimulatedChain {
    readonly dataCentre: string;
    private readonly waiting: SimulatedStream[] = [];
    private running: RunningStream[] = [];
    /** When the slowest hop has processed all prompts. */
    private prefillFreeAt = 0;
    /** Share of the time that the slowest hop spends on prompts. */
    private use = 0;
    private steppedAt = 0;

    constructor(private readonly options: SimulatedChainOptions) {
        this.dataCentre = options.dataCentre;
    }

    /** Number of requests that run or wait. */
    get load(): number {
        return this.waiting.length + this.running.length;
    }

    /** Takes a stream, unless too many are waiting. */
    offer(stream: SimulatedStream): boolean {
        if (this.load >= slots + (this.options.maxQueue ?? defaultMaxQueue)) {
            return false;
        }
        this.waiting.push(stream);
        return true;
    }

    /** Brings all events that are due. */
    step(now: number): void {
        this.use *= Math.exp(-(now - this.steppedAt) / useWindow);
        this.steppedAt = now;
        const interval = this.interval;
        for (const running of this.running) {
            while (running.left > 0 && running.dueAt <= now) {
                this.bringEvent(running, interval);
            }
        }
        this.running = this.running.filter(({ left }) => left > 0);
        while (this.running.length < slots && this.waiting[0] !== undefined) {
            this.begin(this.waiting[0], now);
            this.waiting.shift();
        }
    }

    private bringEvent(running: RunningStream, interval: number): void {
        const { stream, dueAt, lastAt } = running;
        if (stream.firstTaken === undefined) {
            stream.firstTaken = dueAt - stream.arrivedAt;
            stream.onFirst(stream.firstTaken);
        }
        else {
            stream.longest = Math.max(stream.longest ?? 0, dueAt - lastAt);
            stream.onInterval(dueAt - lastAt);
        }
        running.left--;
        running.lastAt = dueAt;
        running.dueAt += interval * (1 - jitter + 2 * jitter * this.options.random.next());
        if (running.left === 0) {
            stream.endedAt = running.lastAt;
            stream.onEnd();
        }
    }

    private begin(stream: SimulatedStream, now: number): void {
        const { prefillRate } = timedTestEngine;
        const shares = this.options.hops.map(({ accelerator, layers }) =>
            (this.kind(accelerator)?.prefillFactor ?? 1) * layers / timedTestEngine.layers
        );
        const whole = stream.prompt / prefillRate * 1_000;
        const slowest = Math.max(...shares) * whole;
        const start = Math.max(now, this.prefillFreeAt);
        this.prefillFreeAt = start + slowest;
        this.use += slowest / useWindow;
        const prefill = shares.reduce((sum, share) => sum + share * whole, 0);
        const way = stream.from === stream.to ? 0 : remoteDelay;
        this.running.push({
            stream,
            left: stream.events,
            dueAt: start + prefill + this.interval * 0.75 + way,
            lastAt: 0,
        });
    }

    private get interval(): number {
        const { stepTime, requestStepTime, contextStepTime, stepsPerPass, layers } = timedTestEngine;
        const perRequest = requestStepTime + contextStepTime * 0.884;
        const factor = this.options.hops.reduce(
            (sum, hop) => sum + (this.kind(hop.accelerator)?.stepFactor ?? 1) * hop.layers / layers,
            0,
        );
        const pass = stepsPerPass * (stepTime + this.running.length * 2 / 3 * perRequest) * factor;
        const interval = (1.5 * pass + 1.06 * this.options.hops.length + 7.4) / (1 - Math.min(maxUse, this.use));
        return interval * (this.options.hiddenFactor ?? 1);
    }

    private kind(accelerator: string) {
        return timedTestEngine.accelerators.find(({ name }) => name === accelerator);
    }
}
