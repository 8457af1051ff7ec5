import { type MechanismSwitch } from "../Mechanisms.js";

/** Targets admit requests of a lower number first; 5 is what they assume. */
const resumedPriorities = { first: 1, last: 4 };
/** Tokens of a prompt for each step of these priorities: half of a usual prompt. */
const tokensPerPriority = 400;

/**
 * The priority of a stream that broke off and goes on. Its caller waits in mid-stream, so it goes before new requests, and of several
 * the one with the least to read goes first, so that more of them go on in time.
 *
 * @param promptTokens - What has to be read again.
 */
export function resumedPriority(promptTokens: number, isOn: MechanismSwitch): number {
    const { first, last } = resumedPriorities;
    return isOn("short-first") ? Math.min(last, first + Math.floor(promptTokens / tokensPerPriority)) : first;
}
