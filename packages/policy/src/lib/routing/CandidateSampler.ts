import { type Clock, type Random } from "@waxwingspar/utils";
import { type DataCentreBreaker } from "../health/DataCentreBreaker.js";
import { type RangeGroup } from "./RangeGroup.js";
import { type TargetState } from "./TargetState.js";

/**
 * Samples the candidate targets of a layer range for a request.
 *
 * @internal
 */
export class CandidateSampler {
    constructor(
        private readonly clock: Clock,
        private readonly random: Random,
        private readonly dataCentres: DataCentreBreaker,
        private readonly choices: number,
    ) {}

    /** Samples targets of the nearest tier, and one of a farther tier so that work can spill over. */
    sample(range: RangeGroup, exclude: ReadonlySet<string>): TargetState[] {
        range.refresh();
        const { active, near } = range;
        const drawn: TargetState[] = [];
        this.draw(active, 0, near, this.choices, exclude, drawn);
        // Without a usable target in the nearest tier, the whole sample comes from the farther ones.
        this.draw(active, near, active.length, drawn.length === 0 ? this.choices : 1, exclude, drawn);
        return drawn;
    }

    /** Returns whether a regular request may use a target. */
    allows(state: TargetState, exclude: ReadonlySet<string>): boolean {
        return state.isUsable() && state.restLeft(this.clock.now()) === 0 && !exclude.has(state.name)
            && !this.dataCentres.isAvoided(state.target.dataCentre);
    }

    /**
     * Samples without replacement from a section of a list: first by random draws, then by a scan from a random start.
     */
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
        // Random draws may hit only unusable or already drawn targets, so the whole section is scanned as well.
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
