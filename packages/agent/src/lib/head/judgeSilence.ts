import { type StageState } from "../stage/stateMethod.js";

/**
 * Why a token has not come.
 *
 * - `dead`: the target does not answer, or has left the attempt.
 * - `working`: the target has the frame and works on it.
 * - `unreached`: the stage before the target has passed the frame on, but it has not arrived, or the last stage's token
 *   has not reached the head.
 *
 * @internal
 */
export interface Silence {
    readonly kind: "dead" | "working" | "unreached";
    /** Undefined for the head's own stage. */
    readonly target: string | undefined;
}

/**
 * Finds the first stage that holds up a token.
 *
 * @param wanted - Positions that must have passed every stage.
 * @param ownPassed - Positions that the head's own stage has passed on.
 * @param targets - The later stages, in order.
 * @param states - What each said; undefined for one that did not answer.
 * @internal
 */
export function judgeSilence(
    wanted: number,
    ownPassed: number,
    targets: readonly string[],
    states: readonly (StageState | undefined)[],
): Silence {
    // A dead stage is found even while an earlier one still works, since the token could not come.
    const dead = states.findIndex(state => state?.open !== true);
    if (dead >= 0) {
        return { kind: "dead", target: targets[dead] };
    }
    if (ownPassed < wanted) {
        return { kind: "working", target: undefined };
    }
    for (const [index, state] of states.entries()) {
        const target = targets[index];
        if (state !== undefined && state.passed < wanted) {
            return { kind: state.taken >= wanted ? "working" : "unreached", target };
        }
    }
    return { kind: "unreached", target: targets.at(-1) };
}
