import { type Random, seededRandom } from "@waxwingspar/utils";
import { type LoadSettings, type PlannedCall } from "./LoadSettings.js";

/** Maximum number of calls in a plan. */
const maxCalls = 1_000_000;

/** Number of initial draws to discard; after these, the numbers of different seeds are uncorrelated. */
const discardedDraws = 32;

const millisecondsPerSecond = 1000;

/** Words from which prompts are drawn. */
const words = ["keel", "mast", "spar", "deck", "hull", "sail", "rope", "helm", "port", "buoy", "dock", "tide"];

/**
 * Plans every call of a run in advance. Arrivals follow a Poisson process, so that none depends on an earlier answer.
 *
 * @throws RangeError if the plan would exceed a million calls.
 * @public
 */
export function planCalls(settings: LoadSettings): PlannedCall[] {
    const { rate, duration, seed } = settings;
    if (rate * duration > maxCalls) {
        throw new RangeError(`more than ${maxCalls} calls: ${rate} per second for ${duration} s`);
    }
    const random = createRandom(seed);
    const prefix = prompt(random, Math.round(settings.promptTokens * settings.sharedPrefix));
    const calls: PlannedCall[] = [];
    const end = duration * millisecondsPerSecond;
    for (let at = drawGap(random, rate); at < end && calls.length < maxCalls; at += drawGap(random, rate)) {
        calls.push(planCall(settings, random, prefix, at));
    }
    return calls;
}

/**
 * Creates a random source without its first draws, which hardly depend on a small seed and lie near 1, and so would
 * delay the first arrivals.
 */
function createRandom(seed: number): Random {
    const random = seededRandom(seed);
    for (let draw = 0; draw < discardedDraws; draw++) {
        random.next();
    }
    return random;
}

/** Draws the milliseconds between two arrivals from an exponential distribution, by inversion. */
function drawGap(random: Random, rate: number): number {
    return -Math.log(1 - random.next()) / rate * millisecondsPerSecond;
}

function planCall(settings: LoadSettings, random: Random, prefix: readonly string[], at: number): PlannedCall {
    const { model, callers, maxTokens, promptTokens, service, serviceShare } = settings;
    const caller = callers[random.below(callers.length)] ?? { name: "anonymous" };
    if (random.next() < serviceShare) {
        return { at, kind: "service", caller, path: `/services/${service}` };
    }
    const uniqueWords = prompt(random, Math.max(0, promptTokens - prefix.length));
    const body = JSON.stringify({
        model,
        prompt: [...prefix, ...uniqueWords].join(" "),
        max_tokens: maxTokens,
        stream: true,
        stream_options: { include_usage: true },
    });
    return { at, kind: "model", caller, path: "/v1/completions", body };
}

/** Draws the words of a prompt. */
function prompt(random: Random, length: number): string[] {
    return Array.from({ length }, () => words[random.below(words.length)] ?? "");
}
