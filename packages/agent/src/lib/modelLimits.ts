import { type Configuration } from "@waxwingspar/config";
import { type AgentSettings } from "./AgentSettings.js";

const defaultTokenBound = 72;
const defaultFirstTokenBound = 540;

/**
 * The timeouts of one model in milliseconds, derived from its token bounds.
 *
 * @internal
 */
export interface Timeouts {
    /** The bound on the first token. */
    readonly firstToken: number;
    /** Timeout for all stages to join; longer if KV caches are imported. */
    join(importing: boolean): number;
    /** Timeout of an engine step of `count` positions. */
    step(count: number): number;
    /** Timeout for the token that results from a step of `count` positions at the head. */
    silence(count: number): number;
    /** Timeout after which a step or token counts as lost even if the engine or the stages still respond. */
    hard(count: number): number;
}

/** The ratio of the hard timeout to the silence timeout. */
const hardTimeoutFactor = 8;

/** Derives the timeouts of a model. @internal */
export function timeoutsOf(configuration: Configuration, model: string, settings: AgentSettings): Timeouts {
    const spec = configuration.get("model", model)?.spec;
    const tokenBound = spec?.tokenBound ?? defaultTokenBound;
    const firstTokenBound = spec?.firstTokenBound ?? defaultFirstTokenBound;
    const extra = (count: number): number =>
        count <= 1 ? 0 : firstTokenBound * Math.ceil(count / settings.prefillChunk);
    const step = (count: number): number =>
        Math.max(settings.minimumTimeout, settings.stepPatience * tokenBound) + extra(count);
    const silence = (count: number): number =>
        Math.max(settings.minimumTimeout, settings.silencePatience * tokenBound) + 2 * extra(count);
    const join = (importing: boolean): number =>
        Math.max(settings.minimumTimeout, settings.joinShare * firstTokenBound)
        + (importing ? settings.importTimeout : 0);
    return { firstToken: firstTokenBound, join, step, silence, hard: count => hardTimeoutFactor * silence(count) };
}

/** Returns the maximum number of tokens of prompt and answer together for a model. @internal */
export function contextTokensOf(configuration: Configuration, model: string): number {
    return configuration.get("model", model)?.spec.contextTokens ?? Number.POSITIVE_INFINITY;
}
