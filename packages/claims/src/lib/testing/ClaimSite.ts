import { MemoryTableStore } from "@waxwingspar/stores";
import { ManualClock } from "@waxwingspar/utils";
import { TableClaims } from "../TableClaims.js";

/** A store on a manual clock, and any number of processes that keep claims in it. */
export class ClaimSite {
    readonly clock = new ManualClock();
    readonly store = new MemoryTableStore({ clock: this.clock });

    /** The claims of one more process. */
    process(): TableClaims {
        return new TableClaims(this.store, this.clock);
    }
}
