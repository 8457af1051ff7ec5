import { type Engine } from "../configuration/Configuration.js";
import { type Target } from "../directory/Target.js";
import { buildChain, type Slowdown } from "./buildChain.js";
import { type Chain } from "./Chain.js";

/**
 * Builds chains through several data centres, for the seconds in which some of them have no complete chain of their
 * own. Each of these data centres gets a chain that begins there, which spreads the load over the links; only chains
 * with the fewest hops between data centres are returned. The targets of complete chains are left out, since they have
 * no capacity to spare. Without mixed chains, 180 requests were refused when three data centres lost a target each at
 * the same time.
 */
export function buildMixedChains(
    dataCentres: readonly string[],
    whole: readonly Chain[],
    targets: readonly Target[],
    engine: Engine,
    slowdown: Slowdown,
): Chain[] {
    const used = new Set(whole.flatMap(({ hops }) => hops.map(({ targetId }) => targetId)));
    const free = targets.filter(({ id }) => !used.has(id));
    const chains = dataCentres
        .filter(dataCentre => whole.every(chain => chain.dataCentre !== dataCentre))
        .flatMap(dataCentre => buildChain(dataCentre, free, engine, slowdown) ?? []);
    const fewest = Math.min(...chains.map(({ crossings }) => crossings));
    return chains.filter(({ crossings }) => crossings === fewest);
}
