import { type ChainLoad } from "../chains/ChainRouter.js";
import { type ChainService } from "../chains/ChainService.js";
import { type ChainChoice } from "./ChainChoice.js";
import { type SlotCandidate } from "./SlotUse.js";

/** Lists the chains that a request may be sent over now, best first, with the slots of their heads. */
export function* chainCandidates(
    choice: Pick<ChainChoice, "listNext">,
    service: Pick<ChainService, "roomOf" | "target">,
): Generator<SlotCandidate<ChainLoad>> {
    for (const load of choice.listNext()) {
        const target = service.target(load.chain.hops[0]?.targetId ?? "");
        if (target !== undefined) {
            // The room is not known where the accelerator of a target is not.
            const room = service.roomOf(load);
            yield { choice: load, target, room: room > 0 ? Math.max(1, Math.floor(room)) : undefined };
        }
    }
}
