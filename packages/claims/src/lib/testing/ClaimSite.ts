import { AnsweredEra, MemoryTableStore } from "@waxwingspar/stores";
import { ManualClock } from "@waxwingspar/utils";
import { type ReportedClaim } from "../reclaim/ClaimReport.js";
import { TableClaims } from "../TableClaims.js";
import { Runners } from "./Runners.js";

/** A store on a manual clock, and any number of processes that keep claims in it. */
export class ClaimSite {
    readonly clock = new ManualClock();
    readonly store = new MemoryTableStore({ clock: this.clock });

    /** The processes that run claims. */
    readonly runners = new Runners();
    /** The processes that live, and so tell one another which claims they know. */
    private readonly processes = new Set<TableClaims>();

    /** The claims of one more process. */
    process(): TableClaims {
        const collectReports = this.runners.collector(before => this.reports(before));
        const process = new TableClaims(new AnsweredEra(this.store), this.clock, { collectReports });
        this.processes.add(process);
        return process;
    }

    /** Ends a process, with all that only it knew. */
    kill(process: TableClaims): void {
        this.processes.delete(process);
    }

    private reports(before: number): ReportedClaim[] {
        return [...this.processes].flatMap(process => process.report({ series: "table", before }));
    }
}
