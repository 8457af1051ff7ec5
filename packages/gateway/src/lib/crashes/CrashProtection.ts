import { type Clock } from "@waxwingspar/utils";
import { type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { type Observation } from "../observation/Observation.js";
import { type PeerState } from "../peers/PeerState.js";
import { type Store } from "../store/Store.js";
import { type StoreEras } from "../store/StoreEras.js";
import { CrashCounts } from "./CrashCounts.js";
import { CrashDetector } from "./CrashDetector.js";
import { CrashGuard } from "./CrashGuard.js";
import { CrashRecords, crashTable } from "./CrashRecords.js";
import { PartCrashes } from "./PartCrashes.js";
import { TrialLease } from "./TrialLease.js";

/** Options of {@link CrashProtection}. */
export interface CrashProtectionOptions {
    readonly clock: Clock;
    readonly store: Store;
    readonly eras?: StoreEras;
    readonly directory: Pick<TargetDirectory, "get">;
    readonly refusesConnections: (target: Target) => Promise<boolean>;
    readonly observation: Observation;
    /** Number of gateways that send requests to the same targets. */
    readonly gateways?: () => number;
}

type CrashNews = Pick<PeerState, "crashes" | "partCrashes" | "safeRuns">;

/** Components that protect targets against requests which crash them. */
export class CrashProtection {
    readonly counts: CrashCounts;
    readonly parts: PartCrashes;
    readonly records: CrashRecords;
    readonly guard: CrashGuard;
    readonly detector: CrashDetector;

    constructor({ clock, store, eras, directory, refusesConnections, observation, gateways }: CrashProtectionOptions) {
        this.counts = new CrashCounts(clock);
        this.parts = new PartCrashes(clock);
        this.records = new CrashRecords({
            clock,
            store,
            eras,
            logger: observation.logs.requests,
            hasRun: part => this.parts.lastRunAt(part) !== undefined,
        });
        const lease = new TrialLease({ clock, store, table: crashTable });
        const { counts, parts, records } = this;
        this.guard = new CrashGuard({ clock, counts, parts, records, lease, observation, gateways });
        this.detector = new CrashDetector({
            directory,
            refusesConnections,
            observation,
            onCrash: runs => this.guard.recordCrash(runs),
        });
    }

    /** What this process tells other gateways of crashes. */
    describe(): CrashNews {
        const { counts, parts } = this;
        return { crashes: counts.listSeen(), partCrashes: parts.listSeen(), safeRuns: parts.listRuns() };
    }

    /** Receives what the other gateways tell, as a sum. */
    receive({ crashes, partCrashes, safeRuns }: CrashNews): void {
        this.guard.recordPeerRuns(safeRuns);
        this.parts.recordPeerCrashes(partCrashes);
        this.counts.recordPeerCounts(crashes);
    }
}
