import { type Random, seededRandom } from "@waxwingspar/utils";
import { type LoadSettings, type PlannedCall } from "./LoadSettings.js";

/** A plan never holds more calls than this. */
const maxCalls = 1_000_000;

/** Draws after which the numbers of different seeds have nothing in common. */
const unsettledDraws = 32;

const millisecondsPerSecond = 1000;
const words = ["keel", "mast", "spar", "deck", "hull", "sail", "rope", "helm", "port", "buoy", "dock", "tide"];

/**
 * Lays down every call of a run beforehand: arrivals of a Poisson process, so that no arrival depends on an answer.
 *
 * @throws RangeError if the plan would exceed a million calls.
 * @public
 */
export function planCalls(settings: LoadSettings): PlannedCall[] {
    const { rate, duration, seed } = settings;
    if (rate * duration > maxCalls) {
        throw new RangeError(`more than ${maxCalls} calls`);
    }
    const random = settledRandom(seed);
    const prefix = prompt(random, Math.round(settings.promptTokens * settings.sharedPrefix));
    const calls: PlannedCall[] = [];
    const end = duration * millisecondsPerSecond;
    for (let at = gap(random, rate); at < end && calls.length < maxCalls; at += gap(random, rate)) {
        calls.push(planCall(settings, random, prefix, at));
    }
    return calls;
}

/** The generator's first draws hardly depend on a small seed and lie near 1, which would delay the first arrivals. */
function settledRandom(seed: number): Random {
    const random = seededRandom(seed);
    for (let draw = 0; draw < unsettledDraws; draw++) {
        random.next();
    }
    return random;
}

/** Milliseconds between two arrivals: exponential, by inversion. */
function gap(random: Random, rate: number): number {
    return -Math.log(1 - random.next()) / rate * millisecondsPerSecond;
}

function planCall(settings: LoadSettings, random: Random, prefix: readonly string[], at: number): PlannedCall {
    const { model, callers, maxTokens, promptTokens, service, serviceShare } = settings;
    const caller = callers[random.below(callers.length)] ?? { name: "anonymous" };
    if (random.next() < serviceShare) {
        return { at, kind: "service", caller, path: `/services/${service}` };
    }
    const own = prompt(random, Math.max(0, promptTokens - prefix.length));
    const body = JSON.stringify({
        model,
        prompt: [...prefix, ...own].join(" "),
        max_tokens: maxTokens,
        stream: true,
        stream_options: { include_usage: true },
    });
    return { at, kind: "model", caller, path: "/v1/completions", body };
}

function prompt(random: Random, length: number): string[] {
    return Array.from({ length }, () => words[random.below(words.length)] ?? "");
}
