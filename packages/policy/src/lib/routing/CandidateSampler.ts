import { type Random } from "@waxwingspar/utils";
import { type DataCentreWatch } from "../health/DataCentreWatch.js";
import { type RangeGroup } from "./RangeGroup.js";
import { type TargetState } from "./TargetState.js";

/**
 * Draws the few targets of a layer range among which a request chooses.
 *
 * @internal
 */
export class CandidateSampler {
    constructor(
        private readonly random: Random,
        private readonly dataCentres: DataCentreWatch,
        private readonly choices: number,
    ) {}

    /** Draws near targets, and one farther away so that work can spill over. */
    sample(range: RangeGroup, exclude: ReadonlySet<string>): TargetState[] {
        range.refresh();
        const { active, near } = range;
        const drawn: TargetState[] = [];
        this.draw(active, 0, near, this.choices, exclude, drawn);
        // When nothing near is left, the far ones take the whole draw.
        this.draw(active, near, active.length, drawn.length === 0 ? this.choices : 1, exclude, drawn);
        return drawn;
    }

    /** Whether an ordinary request may use a target. */
    allows(state: TargetState, exclude: ReadonlySet<string>): boolean {
        return state.isUsable() && !exclude.has(state.name) && !this.dataCentres.isAvoided(state.target.dataCentre);
    }

    /** Draws without repetition from a part of a list, starting anywhere and stepping by a random stride. */
    private draw(
        states: readonly TargetState[],
        from: number,
        to: number,
        wanted: number,
        exclude: ReadonlySet<string>,
        drawn: TargetState[],
    ): void {
        const size = to - from;
        if (size <= 0) {
            return;
        }
        const taken = new Set<number>();
        let found = 0;
        for (let tries = 0; tries < 2 * wanted && found < wanted && taken.size < size; tries++) {
            found += this.take(states, from + this.random.below(size), taken, exclude, drawn);
        }
        // Random draws may keep hitting targets that cannot be used; then every target gets its turn.
        const start = this.random.below(size);
        for (let step = 0; step < size && found < wanted; step++) {
            found += this.take(states, from + (start + step) % size, taken, exclude, drawn);
        }
    }

    private take(
        states: readonly TargetState[],
        place: number,
        taken: Set<number>,
        exclude: ReadonlySet<string>,
        drawn: TargetState[],
    ): number {
        const state = states[place]!;
        if (taken.has(place) || !this.allows(state, exclude)) {
            return 0;
        }
        taken.add(place);
        drawn.push(state);
        return 1;
    }
}
