import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { type Observation } from "../observation/Observation.js";
import { type Chain } from "./Chain.js";
import { type ChainRouterOptions } from "./ChainRouter.js";

/** Options of {@link logChains}. */
export interface ChainLogOptions {
    readonly directory: TargetDirectory;
    readonly observation: Observation;
}

/** Returns listeners of a router that log changes of the chains of a data centre. */
export function logChains(
    { directory, observation: { logs } }: ChainLogOptions,
): Pick<ChainRouterOptions, "onChange" | "onFurtherChange"> {
    return {
        onChange: (dataCentre, chain) =>
            logs.chains.info({
                chain: dataCentre,
                list: directory.revision,
                hops: chain === undefined ? undefined : listHops(chain),
                room: chain === undefined ? undefined : Math.round(chain.room),
                crossings: chain?.crossings,
                slowdown: chain?.slowdown,
            }, chain === undefined ? "chain broken" : "chain built"),
        onFurtherChange: (dataCentre, chains) =>
            logs.chains.info({
                chain: dataCentre,
                list: directory.revision,
                chains: chains.map(chain => ({ hops: listHops(chain), room: Math.round(chain.room) })),
            }, "further chains changed"),
    };
}

function listHops({ hops }: Chain): string[] {
    return hops.map(({ targetId, layers }) => `${targetId}=${layers.first}-${layers.end}`);
}
