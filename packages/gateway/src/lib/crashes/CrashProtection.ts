import { type Clock } from "@waxwingspar/utils";
import { type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { type Observation } from "../observation/Observation.js";
import { type Store } from "../store/Store.js";
import { type StoreEras } from "../store/StoreEras.js";
import { CrashCounts } from "./CrashCounts.js";
import { CrashDetector } from "./CrashDetector.js";
import { CrashGuard } from "./CrashGuard.js";
import { CrashRecords } from "./CrashRecords.js";

/** Options of {@link CrashProtection}. */
export interface CrashProtectionOptions {
    readonly clock: Clock;
    readonly store: Store;
    readonly eras?: StoreEras;
    readonly directory: Pick<TargetDirectory, "get">;
    readonly refusesConnections: (target: Target) => Promise<boolean>;
    readonly observation: Observation;
}

/** Components that protect targets against requests which crash them. */
export class CrashProtection {
    readonly counts: CrashCounts;
    readonly records: CrashRecords;
    readonly guard: CrashGuard;
    readonly detector: CrashDetector;

    constructor({ clock, store, eras, directory, refusesConnections, observation }: CrashProtectionOptions) {
        this.counts = new CrashCounts(clock);
        this.records = new CrashRecords({ clock, store, eras, logger: observation.logs.requests });
        this.guard = new CrashGuard({ clock, counts: this.counts, records: this.records, observation });
        this.detector = new CrashDetector({
            directory,
            refusesConnections,
            observation,
            onCrash: runs => this.guard.recordCrash(runs),
        });
    }
}
