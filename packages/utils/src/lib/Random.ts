import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/**
 * A source of random numbers. Code receives one, so that a run can be repeated from its seed.
 *
 * @public
 */
export interface Random {
    /** A number from 0 (included) to 1 (excluded). */
    next(): number;
    /**
     * A whole number from 0 (included) to a limit (excluded).
     *
     * @param limit - The limit, at least 1.
     */
    below(limit: number): number;
}

const maxDraw = 0x7fff_ffff;

/**
 * Creates a repeatable source of random numbers.
 *
 * @param seed - Any whole number; the same seed gives the same numbers.
 * @public
 */
export function seededRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed | 0);
    return {
        next: () => uniformInt(generator, 0, maxDraw) / (maxDraw + 1),
        below: limit => uniformInt(generator, 0, limit - 1),
    };
}
