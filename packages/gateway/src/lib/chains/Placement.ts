import { type LayerRange, type Target } from "../directory/Target.js";

/** A target and the layers that it is planned to hold. */
export interface Placement {
    readonly target: Target;
    readonly layers: LayerRange;
}
