import { type MechanismSwitch } from "../Mechanisms.js";

/** Targets admit requests with lower numbers first; their default is 5. */
const resumedPriorities = { first: 1, last: 4 };
/** Prompt tokens per priority step: half of a typical prompt. */
const tokensPerPriority = 400;

/**
 * Computes the priority of an interrupted stream that is resumed. Its caller is waiting in mid-stream, so it takes
 * precedence over new requests. Among resumed streams, shorter prompts come first, so that more streams resume in time.
 *
 * @param promptTokens - Prompt tokens that must be processed again.
 */
export function resumedPriority(promptTokens: number, isOn: MechanismSwitch): number {
    const { first, last } = resumedPriorities;
    return isOn("short-first") ? Math.min(last, first + Math.floor(promptTokens / tokensPerPriority)) : first;
}
