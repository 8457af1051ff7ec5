import { incarnationOf, type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { type Observation } from "../observation/Observation.js";
import { isPart } from "./crashCauses.js";

/** A run that was interrupted because its target closed or reset the connection. */
export interface InterruptedRun {
    /** Id of the caller's attempt. */
    readonly request: string | undefined;
    /** Identifies the request over all attempts of its caller. */
    readonly digest: string;
    /** What may have caused a crash of the target: the request itself and the shared parts of its prompt. */
    readonly causes: readonly string[];
    /** The target to which the request was sent; for a chain, its first target. */
    readonly target: Target;
    /** Milliseconds since the request was sent to the target. */
    readonly after: number;
    /** Milliseconds since the start of the reply, for a stream since its first event; undefined before that. */
    readonly replyAge: number | undefined;
}

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions {
    readonly directory: Pick<TargetDirectory, "get">;
    readonly refusesConnections: (target: Target) => Promise<boolean>;
    readonly observation: Observation;
    /** Called with all runs that a crash of their target interrupted. */
    readonly onCrash?: (runs: readonly InterruptedRun[]) => void;
}

/**
 * Detects whether a target that interrupted a run has crashed. A reset connection is no proof, since networks and full
 * targets reset connections too; the target must also refuse new ones. A draining target ends its process as well, so
 * it is left out.
 */
export class CrashDetector {
    /** Interrupted runs by the incarnation of their target: one check covers all runs that a crash interrupts. */
    private readonly waiting = new Map<string, InterruptedRun[]>();

    constructor(private readonly options: CrashDetectorOptions) {}

    /** Checks the target of a run that was interrupted after its request had been sent. */
    handleInterruptedRun(run: InterruptedRun): void {
        const incarnation = incarnationOf(run.target);
        const waiting = this.waiting.get(incarnation);
        if (waiting !== undefined) {
            waiting.push(run);
            return;
        }
        const runs = [run];
        this.waiting.set(incarnation, runs);
        void this.checkCrash(run.target).then(hasCrashed => {
            this.waiting.delete(incarnation);
            if (hasCrashed) {
                runs.forEach(cut => this.recordCrash(cut, runs.length));
                this.options.onCrash?.(runs);
            }
        });
    }

    private async checkCrash(target: Target): Promise<boolean> {
        const { directory, refusesConnections } = this.options;
        const listed = directory.get(target.id);
        const isLeaving = listed === undefined || listed.state === "draining";
        return !isLeaving && await refusesConnections(target);
    }

    private recordCrash(run: InterruptedRun, runs: number): void {
        const { observation } = this.options;
        const { request, digest, causes, target, after, replyAge } = run;
        observation.metrics.crashedRuns.add({});
        observation.logs.requests.warn({
            request,
            digest,
            parts: causes.filter(isPart),
            target: target.id,
            startedAt: target.startedAt,
            after: Math.round(after),
            replyAge: replyAge === undefined ? undefined : Math.round(replyAge),
            runs,
        }, "target crashed under a run");
    }
}
