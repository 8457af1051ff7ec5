import { type Configuration } from "@waxwingspar/config";
import { type AgentSettings } from "./AgentSettings.js";

const defaultTokenBound = 72;
const defaultFirstTokenBound = 540;

/**
 * The timeouts of one model, in milliseconds. They follow from its bounds.
 *
 * @internal
 */
export interface Timeouts {
    /** The bound on the first token. */
    readonly firstToken: number;
    /** For every stage to get ready; an import of KV caches takes longer. */
    join(importing: boolean): number;
    /** For one step of the engine. */
    step(count: number): number;
    /** For the token that a step of so many positions at the head leads to. */
    silence(count: number): number;
    /** Beyond this a step or token counts as lost even if the engine or the stages show signs of life. */
    hard(count: number): number;
}

const hardFactor = 8;

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
    return { firstToken: firstTokenBound, join, step, silence, hard: count => hardFactor * silence(count) };
}

/** Tokens of prompt and answer together that a model takes. @internal */
export function contextTokensOf(configuration: Configuration, model: string): number {
    return configuration.get("model", model)?.spec.contextTokens ?? Number.POSITIVE_INFINITY;
}
