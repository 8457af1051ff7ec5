import { type Engine } from "../configuration/Configuration.js";

/**
 * Predicts the times of streams on a chain, for the load at which chains differ in speed and none is full: 134 requests
 * on a chain of fast accelerators get events every 42 to 44 ms, on one with 14 hops every 118 to 176 ms.
 *
 * The constants are fitted to measured chains with 5 steps for each event. Measured and predicted milliseconds:
 *
 * | chain | interval, nearly empty | interval with 134 requests | first event, nearly empty |
 * |---|---|---|---|
 * | 3 hops, 80 layers of factor 2.4 | 29, 29 | 42 to 44, 42 | 30, 30 |
 * | 11 hops, 28 layers of 2.4, 45 of 5.3, 7 of 16 | 59, 59 | 80 to 90, 87 | 50, 50 |
 * | 14 hops, 27 layers of 16, 45 of 5.3, 8 of 16 | not measured, 89 | 118 to 176, 143 | not measured |
 *
 * A pass takes part of the requests in flight only, since the others wait at other hops; a wait of half a pass at each
 * hop in addition would give 48 and 101 ms for the first two chains with 134 requests.
 *
 * The model leaves out: prompts that other requests prefill in the same steps, prefill of several chunks on several
 * hops at the same time, reuse of cached prefixes, contexts that differ from the usual one, the link within a data
 * centre, and targets that two chains share. The prefill factors of the second and third chain were not known, so the
 * constant of the first event rests on one chain. {@link TimeCorrections} learns what is left.
 */

/** Waiting at each hop for each event, beyond the pass itself, in milliseconds. */
const hopWait = 1.95;
/** Time of an event outside the passes of the hops, in milliseconds. */
const eventOverhead = 10.9;
/** Time of a first event outside prefill and the passes of the hops, in milliseconds. */
const firstEventOverhead = 6.9;
/** Part of a running pass for which a prompt waits at a hop that is busy. */
const promptWaitShare = 0.5;

const tokensPerContextUnit = 1_000;
const pairsPerUnit = 1e6;
const millisecondsPerSecond = 1_000;
const bitsPerByte = 8;
const bitsPerMegabitMillisecond = 1_000;

type RequiredTime = "stepsPerPass" | "requestStepTime" | "contextStepTime" | "prefillRate";

/** An engine whose configuration allows predictions. */
export type TimedEngine = Engine & { readonly [Name in RequiredTime]-?: number; };

/** A hop of a chain, as far as its times depend on it. */
export interface TimedHop {
    /** Time of a decoding step, relative to the engine's reference accelerator; includes the target's slowdown. */
    readonly stepFactor: number;
    /** Time of prefill, relative to the engine's reference accelerator. */
    readonly prefillFactor: number;
    /** Its part of all layers, from 0 to 1. */
    readonly share: number;
}

/** A chain, as far as its times depend on it. */
export interface TimedChain {
    readonly hops: readonly TimedHop[];
    /** Number of hops from one data centre to another. */
    readonly crossings: number;
    /** Milliseconds that its messages between data centres take, over all crossings. */
    readonly crossingDelay: number;
    /** Requests beyond this number wait until others end. */
    readonly room: number;
}

/** What a request that is sent now finds on a chain. */
export interface PresentLoad {
    /** Requests in flight of all gateways. */
    readonly requests: number;
    /** Tokens of prompts that the chain has yet to process; they are processed one after the other. */
    readonly pendingTokens?: number;
}

/** Predicted times of a stream, in milliseconds. */
export interface ChainTimes {
    readonly firstEvent: number;
    /** Interval between two events. */
    readonly eventInterval: number;
}

/** Whether the configuration has what predictions need. Operators of some platforms publish none of it. */
export function isTimed(engine: Engine): engine is TimedEngine {
    const { stepsPerPass = 0, requestStepTime = -1, contextStepTime = -1, prefillRate = 0 } = engine;
    return stepsPerPass > 0 && requestStepTime >= 0 && contextStepTime >= 0 && prefillRate > 0 && engine.stepTime > 0;
}

/**
 * Predicts the times of a request that is sent to a chain now.
 *
 * @param prompt - Its prompt's length in tokens.
 */
export function predictTimes(chain: TimedChain, engine: TimedEngine, load: PresentLoad, prompt: number): ChainTimes {
    const running = Math.min(load.requests, chain.room);
    const eventInterval = intervalAt(chain, engine, running);
    const passes = passTime(chain, engine, running);
    const extraChunks = Math.max(0, Math.ceil(prompt / (engine.prefillChunk ?? Infinity)) - 1);
    const firstEvent = slotWait(chain, engine, load.requests, eventInterval)
        + pendingWait(chain, engine, load.pendingTokens ?? 0)
        + prefillTime(chain, engine, prompt)
        + extraChunks * passes / engine.stepsPerPass
        + promptWait(chain, engine, running, eventInterval)
        + passes
        + firstEventOverhead
        + crossingTime(chain, engine, prompt);
    return { firstEvent, eventInterval };
}

/**
 * Returns the largest number of requests in flight at which the predicted interval between events is within a bound; 0
 * if it is above the bound on the empty chain.
 *
 * @param maxInterval - The bound in milliseconds.
 */
export function loadWithinInterval(chain: TimedChain, engine: TimedEngine, maxInterval: number): number {
    const empty = intervalAt(chain, engine, 0);
    const perRequest = intervalAt(chain, engine, 1) - empty;
    if (empty > maxInterval) {
        return 0;
    }
    return perRequest > 0 ? Math.floor((maxInterval - empty) / perRequest) : Infinity;
}

/** Returns the milliseconds that a message takes between two data centres; 0 if that is not configured. */
export function delayBetween(engine: Engine, a: string, b: string): number {
    const delays = engine.delays ?? [];
    const known = delays.find(({ from, to }) => from === a && to === b)
        ?? delays.find(({ from, to }) => from === b && to === a);
    return known?.delay ?? 0;
}

function intervalAt(chain: TimedChain, engine: TimedEngine, requests: number): number {
    return passTime(chain, engine, requests) + chain.hops.length * hopWait + eventOverhead
        + crossingTime(chain, engine, engine.stepsPerPass);
}

/** Milliseconds of one pass on each hop, over all hops. */
function passTime({ hops }: TimedChain, engine: TimedEngine, requests: number): number {
    return hops.reduce((sum, hop) => sum + hopPassTime(hop, engine, requests), 0);
}

function hopPassTime({ stepFactor, share }: TimedHop, engine: TimedEngine, requests: number): number {
    const context = (engine.usualPrompt + engine.usualAnswer / 2) / tokensPerContextUnit;
    const stepTime = engine.stepTime + requests * (engine.requestStepTime + engine.contextStepTime * context);
    return engine.stepsPerPass * stepTime * stepFactor * share;
}

/** Milliseconds until requests that are ahead of this one have ended, if the chain has no room for it. */
function slotWait({ room }: TimedChain, engine: TimedEngine, requests: number, eventInterval: number): number {
    const duration = engine.usualAnswer / engine.stepsPerPass * eventInterval;
    return Math.max(0, requests + 1 - room) * duration / Math.max(1, room);
}

/** Milliseconds until the slowest hop has processed the prompts that are ahead. */
function pendingWait({ hops }: TimedChain, engine: TimedEngine, tokens: number): number {
    const slowest = Math.max(0, ...hops.map(({ prefillFactor, share }) => prefillFactor * share));
    return tokens / engine.prefillRate * millisecondsPerSecond * slowest;
}

function prefillTime({ hops }: TimedChain, engine: TimedEngine, tokens: number): number {
    const factor = hops.reduce((sum, { prefillFactor, share }) => sum + prefillFactor * share, 0);
    const pairs = tokens * tokens / 2 / pairsPerUnit;
    const linear = tokens / engine.prefillRate * millisecondsPerSecond;
    return (linear + pairs * (engine.prefillPairTime ?? 0)) * factor;
}

/** Milliseconds for which a prompt waits for running passes; a hop is busy for the passes that the load gives it. */
function promptWait({ hops }: TimedChain, engine: TimedEngine, requests: number, eventInterval: number): number {
    return hops.reduce((sum, hop) => {
        const pass = hopPassTime(hop, engine, requests);
        const busyShare = Math.min(1, requests * pass / eventInterval);
        return sum + pass * busyShare * promptWaitShare;
    }, 0);
}

/** Milliseconds that the activations of some tokens need between data centres. */
function crossingTime({ crossings, crossingDelay }: TimedChain, engine: TimedEngine, tokens: number): number {
    const { activationBytes = 0, crossingBandwidth = Infinity } = engine;
    const transfer = tokens * activationBytes * bitsPerByte / (crossingBandwidth * bitsPerMegabitMillisecond);
    return crossingDelay + crossings * transfer;
}
