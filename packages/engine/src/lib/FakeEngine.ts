import {
    type Clock,
    failure,
    type Outcome,
    type Random,
    requestCodes,
    seededRandom,
    transportCodes,
} from "@waxwingspar/utils";
import { Result } from "true-myth";
import {
    type CacheEvent,
    type Engine,
    type EngineInfo,
    type EngineLoad,
    type Order,
    type Session,
    type Step,
    type StepResult,
} from "./Engine.js";
import { BatchQueue } from "./fake/BatchQueue.js";
import { EventLog } from "./fake/EventLog.js";
import { engineFailure, FakeSession } from "./fake/FakeSession.js";
import { LoadLog } from "./fake/LoadLog.js";
import { blockTokens, PrefixCache } from "./fake/PrefixCache.js";
import { type InitialLayers, WeightMemory } from "./fake/WeightMemory.js";
import { tokenizeText } from "./model/vocabulary.js";

/**
 * Options of {@link FakeEngine}.
 *
 * @public
 */
export interface FakeEngineOptions {
    readonly clock: Clock;
    /** Determines which cache events are lost. */
    readonly random?: Random;
    /** The layers that the engine holds initially. */
    readonly held?: readonly InitialLayers[];
    /** The maximum number of steps in one batch. */
    readonly slots?: number;
    /** Base duration of a batch in milliseconds. */
    readonly stepTime?: number;
    /** Milliseconds that each step adds to its batch. */
    readonly itemTime?: number;
    /** Milliseconds that each position after the first of a step adds to its batch. */
    readonly prefillTokenTime?: number;
    /** Speed-up factor: the duration of every batch is divided by it. */
    readonly speed?: number;
    /** Whether orders with an outdated fencing token are refused. */
    readonly checksFence?: boolean;
    /** Capacity of the prefix cache in blocks of 16 tokens. */
    readonly cacheBlocks?: number;
    /** Bytes of memory for weights. */
    readonly memory?: number;
    /** Bytes of weights loaded per second. */
    readonly loadRate?: number;
    /** Age of the reported load in milliseconds. */
    readonly loadLag?: number;
    /** Milliseconds before a cache event becomes readable. */
    readonly cacheEventDelay?: number;
    /** Fraction of cache events that are lost, from 0 to 1. */
    readonly cacheEventGapRate?: number;
}

const defaults = {
    held: [],
    slots: 32,
    stepTime: 5,
    itemTime: 0.05,
    prefillTokenTime: 0.02,
    speed: 1,
    checksFence: true,
    cacheBlocks: 4096,
    memory: 80e9,
    loadRate: 10e9,
    loadLag: 1000,
    cacheEventDelay: 500,
    cacheEventGapRate: 0,
};

interface StepItem {
    readonly step: Step;
    readonly session: FakeSession;
    readonly priority: number;
    readonly count: number;
    readonly finish: (outcome: Outcome<StepResult>) => void;
}

/**
 * A deterministic engine for tests, benchmarks and first use. It runs no language model, but each token depends on
 * every layer, position, token and version in their order, so that a caller who knows the prompt can verify the whole
 * answer with {@link referenceAnswer}.
 *
 * The methods {@link FakeEngine.hang}, {@link FakeEngine.slow} and {@link FakeEngine.crash} inject faults.
 *
 * @public
 */
export class FakeEngine implements Engine {
    private readonly options: Required<FakeEngineOptions>;
    private readonly sessions = new Map<string, FakeSession>();
    private readonly queue: BatchQueue<StepItem>;
    private readonly cache: PrefixCache;
    private readonly events: EventLog;
    private readonly loads: LoadLog;
    private readonly weights: WeightMemory;
    private slowdownFactor = 1;
    private hasCrashed = false;
    /** Resumes the calls suspended by a hang; undefined unless the engine hangs. */
    private suspendedCalls: (() => void)[] | undefined;

    constructor(options: FakeEngineOptions) {
        this.options = { ...defaults, random: seededRandom(1), ...omitUndefined(options) };
        const { clock, slots } = this.options;
        this.queue = new BatchQueue({
            clock,
            slots,
            duration: items => this.batchTime(items),
            complete: items => this.completeBatch(items),
        });
        this.events = new EventLog({
            clock,
            random: this.options.random,
            delay: this.options.cacheEventDelay,
            gapRate: this.options.cacheEventGapRate,
        });
        this.cache = new PrefixCache(this.options.cacheBlocks, event => this.events.add(event));
        this.loads = new LoadLog(clock, this.options.loadLag);
        this.weights = new WeightMemory({
            ...this.options,
            unloaded: (model, version) => this.dropSessions(model, version),
        });
    }

    info(): Promise<Outcome<EngineInfo>> {
        return this.answer(() => Result.ok({ slots: this.options.slots, ...this.weights.info() }));
    }

    tokenize(_model: string, text: string): Promise<Outcome<number[]>> {
        return this.answer(() => Result.ok(tokenizeText(text)));
    }

    open(session: Session): Promise<Outcome<{ cached: number; }>> {
        return this.answer(() => this.openSession(session));
    }

    async step(step: Step): Promise<Outcome<StepResult>> {
        const submitted = await this.answer(() => this.submit(step));
        return submitted.isErr ? Result.err(submitted.error) : submitted.value.result;
    }

    async close(session: string): Promise<void> {
        await this.answer(() => {
            this.closeSession(session);
            return Result.ok(undefined);
        });
    }

    exportCache(session: string): Promise<Outcome<{ positions: number; data: Uint8Array; }>> {
        return this.answer(() => this.withSession(session, held => Result.ok(held.export())));
    }

    importCache(session: string, data: Uint8Array): Promise<Outcome<{ positions: number; }>> {
        return this.answer(() => this.withSession(session, held => held.import(data)));
    }

    load(): Promise<Outcome<EngineLoad>> {
        return this.answer(() => Result.ok(this.loads.report(() => this.measureLoad())));
    }

    cacheEvents(after: number): Promise<Outcome<CacheEvent[]>> {
        return this.answer(() => Result.ok(this.events.after(after)));
    }

    async order(order: Order): Promise<Outcome<void>> {
        const taken = await this.answer(() => Result.ok({ result: this.weights.order(order) }));
        return taken.isErr ? Result.err(taken.error) : taken.value.result;
    }

    /** Suspends every call and the running batch until {@link FakeEngine.resume}. */
    hang(): void {
        this.suspendedCalls ??= [];
        this.queue.pause();
    }

    /** Ends a hang and resumes the suspended calls in their order. */
    resume(): void {
        const waiting = this.suspendedCalls ?? [];
        this.suspendedCalls = undefined;
        waiting.forEach(proceed => proceed());
        this.queue.resume();
    }

    /**
     * Slows down all batches that start from now on.
     *
     * @param factor - The factor by which batch durations are multiplied; 1 restores the normal speed.
     */
    slow(factor: number): void {
        this.slowdownFactor = factor;
    }

    /** Drops all sessions and the prefix cache. Steps in flight fail, and so does every call until a restart. */
    crash(): void {
        this.hasCrashed = true;
        this.sessions.clear();
        this.cache.clear();
        for (const item of this.queue.clear()) {
            item.finish(engineFailure("the engine crashed"));
        }
        this.resume();
    }

    /** Restarts the engine after a crash; the loaded weights are kept. */
    restart(): void {
        this.hasCrashed = false;
    }

    /** Runs a call, after a hang has ended; fails if the engine has crashed. */
    private async answer<T>(call: () => Outcome<T>): Promise<Outcome<T>> {
        if (this.suspendedCalls !== undefined) {
            const { suspendedCalls } = this;
            await new Promise<void>(resolve => suspendedCalls.push(resolve));
        }
        if (this.hasCrashed) {
            return Result.err(failure(transportCodes.notConnected, "the engine has crashed and was not restarted"));
        }
        return call();
    }

    private openSession(session: Session): Outcome<{ cached: number; }> {
        if (!this.weights.serves(session)) {
            const wanted = `${session.model} ${session.version} layers ${session.first} to ${session.last}`;
            return Result.err(failure(requestCodes.wrongTarget, `this engine cannot serve ${wanted}`));
        }
        if (this.sessions.has(session.session)) {
            return engineFailure(`session ${session.session} is already open`);
        }
        const opened = new FakeSession(session, this.cache);
        this.sessions.set(session.session, opened);
        return Result.ok({ cached: opened.reusePrefix() });
    }

    // The promise is wrapped in an object, since `answer` would otherwise wait for the step to end.
    private submit(step: Step): Outcome<{ result: Promise<Outcome<StepResult>>; }> {
        return this.withSession(step.session, session => {
            const result = new Promise<Outcome<StepResult>>(finish => {
                this.queue.submit({ step, session, priority: session.session.priority, count: step.count, finish });
            });
            this.loads.record(() => this.measureLoad());
            return Result.ok({ result });
        });
    }

    private closeSession(session: string): void {
        this.sessions.delete(session);
        for (const item of this.queue.remove(({ step }) => step.session === session)) {
            item.finish(cancelled(session));
        }
    }

    private withSession<T>(name: string, use: (session: FakeSession) => Outcome<T>): Outcome<T> {
        const session = this.sessions.get(name);
        return session === undefined ? engineFailure(`session ${name} is not open`) : use(session);
    }

    private batchTime(items: readonly StepItem[]): number {
        const { stepTime, itemTime, prefillTokenTime, speed } = this.options;
        const extraTokens = items.reduce((sum, item) => sum + item.count - 1, 0);
        return (stepTime + items.length * itemTime + extraTokens * prefillTokenTime) / speed * this.slowdownFactor;
    }

    private completeBatch(items: readonly StepItem[]): void {
        for (const { step, session, finish } of items) {
            const open = this.sessions.get(step.session) === session;
            finish(open ? session.run(step) : cancelled(step.session));
        }
        this.loads.record(() => this.measureLoad());
    }

    private dropSessions(model: string, version: string): void {
        for (const [name, { session }] of this.sessions) {
            if (session.model === model && session.version === version) {
                this.closeSession(name);
            }
        }
    }

    private measureLoad(): Omit<EngineLoad, "age"> {
        let blocks = this.cache.size;
        for (const session of this.sessions.values()) {
            blocks += Math.ceil(session.positions / blockTokens);
        }
        const { cacheBlocks } = this.options;
        return {
            running: this.queue.runningCount,
            waiting: this.queue.waitingCount,
            cacheUse: cacheBlocks === 0 ? 0 : Math.min(1, blocks / cacheBlocks),
        };
    }
}

function cancelled(session: string): Outcome<never> {
    return Result.err(failure(requestCodes.cancelled, `session ${session} was closed`));
}

/** Removes options that are set to undefined, since they would override a default when spread. */
function omitUndefined(options: FakeEngineOptions): FakeEngineOptions {
    return Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined)) as never;
}
