import { type StageState } from "../stage/stateMethod.js";

/**
 * The stage that delays a token, and the reason:
 *
 * - `dead`: the target does not answer, or no longer runs the attempt.
 * - `working`: the target has received the frame and is processing it.
 * - `unreached`: the stage before the target has forwarded the frame, but the target has not received it, or the head
 *   has not received the token of the last stage.
 *
 * @internal
 */
export interface BlockingStage {
    readonly kind: "dead" | "working" | "unreached";
    /** Undefined for the head's own stage. */
    readonly target: string | undefined;
}

/**
 * Finds the first stage that delays a token.
 *
 * @param wanted - Number of positions that every stage must have completed.
 * @param ownPassed - Number of positions that the head's own stage has completed and forwarded.
 * @param targets - The targets of the later stages, in order.
 * @param states - The state of each later stage; undefined for a stage that did not answer.
 * @internal
 */
export function findBlockingStage(
    wanted: number,
    ownPassed: number,
    targets: readonly string[],
    states: readonly (StageState | undefined)[],
): BlockingStage {
    // A dead stage is reported even while an earlier stage is working, since no token can arrive.
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
