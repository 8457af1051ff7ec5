import { CachedEraStore, MemoryTableStore } from "@waxwingspar/stores";
import { ManualClock } from "@waxwingspar/utils";
import { type ReportedClaim } from "../recovery/ClaimReport.js";
import { TableClaims } from "../TableClaims.js";
import { Runners } from "./Runners.js";

/** A store on a manual clock and any number of processes that record claims in it. */
export class ClaimSite {
    readonly clock = new ManualClock();
    readonly store = new MemoryTableStore({ clock: this.clock });

    /** The processes that run claims. */
    readonly runners = new Runners();
    /** The live processes, which report the claims that they know. */
    private readonly processes = new Set<TableClaims>();

    /** Starts a process. */
    process(): TableClaims {
        const collectReports = this.runners.collector(before => this.reports(before));
        const process = new TableClaims(new CachedEraStore(this.store), this.clock, { collectReports });
        this.processes.add(process);
        return process;
    }

    /** Stops a process and discards its memory. */
    kill(process: TableClaims): void {
        this.processes.delete(process);
    }

    private reports(before: number): ReportedClaim[] {
        return [...this.processes].flatMap(process => process.report({ series: "table", before }));
    }
}
