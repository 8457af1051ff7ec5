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
    /** Decides which cache events are lost. */
    readonly random?: Random;
    /** What the engine holds from its start. */
    readonly held?: readonly InitialLayers[];
    /** The most steps in one batch. */
    readonly slots?: number;
    /** What every batch takes, in milliseconds. */
    readonly stepTime?: number;
    /** What each step adds to its batch, in milliseconds. */
    readonly itemTime?: number;
    /** What each position beyond the first of a step adds to its batch, in milliseconds. */
    readonly prefillTokenTime?: number;
    /** Divides every duration of a batch. */
    readonly speed?: number;
    /** Whether an order with an old fencing number is refused. */
    readonly checksFence?: boolean;
    /** Blocks of 16 tokens that the prefix cache holds. */
    readonly cacheBlocks?: number;
    /** Bytes of memory for weights. */
    readonly memory?: number;
    /** Bytes of weights that are loaded in a second. */
    readonly loadRate?: number;
    /** How old load figures are, in milliseconds. */
    readonly loadLag?: number;
    /** Milliseconds until a cache event can be read. */
    readonly cacheEventDelay?: number;
    /** The share of cache events that are lost, from 0 to 1. */
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
 * A deterministic engine for tests, benchmarks and first use. It computes no language, but its tokens depend on every
 * layer, position, token and version in their order, so that a caller who knows the prompt can check the whole answer
 * with {@link referenceAnswer}.
 *
 * The methods {@link FakeEngine.hang}, {@link FakeEngine.slow} and {@link FakeEngine.crash} bring about faults.
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
    private factor = 1;
    private crashed = false;
    /** Calls that wait while the engine hangs. */
    private hanging: (() => void)[] | undefined;

    constructor(options: FakeEngineOptions) {
        this.options = { ...defaults, random: seededRandom(1), ...definedOnly(options) };
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
        return this.answer(() => this.openNow(session));
    }

    async step(step: Step): Promise<Outcome<StepResult>> {
        const submitted = await this.answer(() => this.submit(step));
        return submitted.isErr ? Result.err(submitted.error) : submitted.value.result;
    }

    async close(session: string): Promise<void> {
        await this.answer(() => {
            this.closeNow(session);
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
        return this.answer(() => Result.ok(this.loads.report(() => this.figures())));
    }

    cacheEvents(after: number): Promise<Outcome<CacheEvent[]>> {
        return this.answer(() => Result.ok(this.events.after(after)));
    }

    async order(order: Order): Promise<Outcome<void>> {
        const taken = await this.answer(() => Result.ok({ result: this.weights.order(order) }));
        return taken.isErr ? Result.err(taken.error) : taken.value.result;
    }

    /** Lets every call, and every batch that runs, wait until {@link FakeEngine.resume}. */
    hang(): void {
        this.hanging ??= [];
        this.queue.pause();
    }

    /** Ends a hang: what waited goes on in its order. */
    resume(): void {
        const waiting = this.hanging ?? [];
        this.hanging = undefined;
        waiting.forEach(proceed => proceed());
        this.queue.resume();
    }

    /**
     * Makes batches slower, from the next one on.
     *
     * @param factor - What every duration is multiplied by; 1 restores the usual speed.
     */
    slow(factor: number): void {
        this.factor = factor;
    }

    /** Loses every session and the prefix cache; steps under way fail, and so does every call until a restart. */
    crash(): void {
        this.crashed = true;
        this.sessions.clear();
        this.cache.clear();
        for (const item of this.queue.clear()) {
            item.finish(engineFailure("the engine crashed"));
        }
        this.resume();
    }

    /** Comes back after a crash, with the weights it held. */
    restart(): void {
        this.crashed = false;
    }

    /** Answers a call, unless the engine hangs or has crashed. */
    private async answer<T>(call: () => Outcome<T>): Promise<Outcome<T>> {
        if (this.hanging !== undefined) {
            const { hanging } = this;
            await new Promise<void>(resolve => hanging.push(resolve));
        }
        if (this.crashed) {
            return Result.err(failure(transportCodes.notConnected, "the engine is down"));
        }
        return call();
    }

    private openNow(session: Session): Outcome<{ cached: number; }> {
        if (!this.weights.serves(session)) {
            const wanted = `${session.model} ${session.version} layers ${session.first} to ${session.last}`;
            return Result.err(failure(requestCodes.wrongTarget, `${wanted} cannot be served here`));
        }
        if (this.sessions.has(session.session)) {
            return engineFailure(`session ${session.session} is open already`);
        }
        const opened = new FakeSession(session, this.cache);
        this.sessions.set(session.session, opened);
        return Result.ok({ cached: opened.reusePrefix() });
    }

    // The pending result is wrapped, so that `answer` does not wait for it while it waits for the engine.
    private submit(step: Step): Outcome<{ result: Promise<Outcome<StepResult>>; }> {
        return this.withSession(step.session, session => {
            const result = new Promise<Outcome<StepResult>>(finish => {
                this.queue.submit({ step, session, priority: session.session.priority, count: step.count, finish });
            });
            this.loads.record(() => this.figures());
            return Result.ok({ result });
        });
    }

    private closeNow(session: string): void {
        this.sessions.delete(session);
        for (const item of this.queue.remove(({ step }) => step.session === session)) {
            item.finish(cancelled(session));
        }
    }

    private withSession<T>(name: string, use: (session: FakeSession) => Outcome<T>): Outcome<T> {
        const session = this.sessions.get(name);
        return session === undefined ? engineFailure(`there is no session ${name}`) : use(session);
    }

    private batchTime(items: readonly StepItem[]): number {
        const { stepTime, itemTime, prefillTokenTime, speed } = this.options;
        const extraTokens = items.reduce((sum, item) => sum + item.count - 1, 0);
        return (stepTime + items.length * itemTime + extraTokens * prefillTokenTime) / speed * this.factor;
    }

    private completeBatch(items: readonly StepItem[]): void {
        for (const { step, session, finish } of items) {
            const open = this.sessions.get(step.session) === session;
            finish(open ? session.run(step) : cancelled(step.session));
        }
        this.loads.record(() => this.figures());
    }

    private dropSessions(model: string, version: string): void {
        for (const [name, { session }] of this.sessions) {
            if (session.model === model && session.version === version) {
                this.closeNow(name);
            }
        }
    }

    private figures(): Omit<EngineLoad, "age"> {
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

/** Drops the options that are set to undefined, so that they do not hide a default. */
function definedOnly(options: FakeEngineOptions): FakeEngineOptions {
    return Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined)) as never;
}
