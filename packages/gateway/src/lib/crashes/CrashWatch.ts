import { incarnationOf, type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { type Observation } from "../observation/Observation.js";

/** A run that its target cut off. */
export interface CutRun {
    /** The id of the caller's attempt. */
    readonly request: string | undefined;
    /** What names the request over its attempts. */
    readonly digest: string;
    /** The target that the request was sent to, for a chain its first one. */
    readonly target: Target;
    /** Milliseconds since the request was sent there. */
    readonly after: number;
    /** Milliseconds since its reply began, for a stream with its first event; undefined when it had not. */
    readonly replyAge: number | undefined;
}

/** Options of {@link CrashWatch}. */
export interface CrashWatchOptions {
    readonly directory: Pick<TargetDirectory, "get">;
    readonly refusesConnections: (target: Target) => Promise<boolean>;
    readonly observation: Observation;
    /** The target of the runs had crashed. */
    readonly onCrash?: (runs: readonly CutRun[]) => void;
}

/**
 * Finds out whether a target that cut a run off has crashed. A connection that was reset says nothing by itself: networks and
 * full targets reset them too. A target that leaves ends its process as well, so only one that was listed as ready counts.
 */
export class CrashWatch {
    /** Runs that wait for a look at their target, by its start: many are cut at once, and one look tells for all. */
    private readonly waiting = new Map<string, CutRun[]>();

    constructor(private readonly options: CrashWatchOptions) {}

    /** Takes a run that was cut off after its request had been sent. */
    runCut(run: CutRun): void {
        const incarnation = incarnationOf(run.target);
        const waiting = this.waiting.get(incarnation);
        if (waiting !== undefined) {
            waiting.push(run);
            return;
        }
        const runs = [run];
        this.waiting.set(incarnation, runs);
        void this.look(run.target).then(hasCrashed => {
            this.waiting.delete(incarnation);
            if (hasCrashed) {
                runs.forEach(cut => this.noteCrash(cut, runs.length));
                this.options.onCrash?.(runs);
            }
        });
    }

    private async look(target: Target): Promise<boolean> {
        const { directory, refusesConnections } = this.options;
        const listed = directory.get(target.id);
        const isLeaving = listed === undefined || listed.state === "draining";
        return !isLeaving && await refusesConnections(target);
    }

    private noteCrash(run: CutRun, runs: number): void {
        const { observation } = this.options;
        const { request, digest, target, after, replyAge } = run;
        observation.metrics.crashedRuns.add({});
        observation.logs.requests.warn({
            request,
            digest,
            target: target.id,
            startedAt: target.startedAt,
            after: Math.round(after),
            replyAge: replyAge === undefined ? undefined : Math.round(replyAge),
            runs,
        }, "target crashed under a run");
    }
}
