import { type Target } from "../directory/Target.js";
import { type TargetDirectory } from "../directory/TargetDirectory.js";
import { type TargetLimits } from "../limits/TargetLimits.js";
import { type Observation } from "../observation/Observation.js";
import { UnknownHeaders } from "../observation/UnknownHeaders.js";
import { type TargetRests } from "../rests/TargetRests.js";
import { isByTarget, type ReplyEvidence } from "./ReplyEvidence.js";

/** Options of {@link TargetReplies}. */
export interface TargetRepliesOptions {
    readonly limits: Pick<TargetLimits, "recordReply">;
    readonly rests: Pick<TargetRests, "recordReply">;
    readonly directory: Pick<TargetDirectory, "recordLeaving">;
    readonly observation: Observation;
}

/** Passes on what targets say about themselves in the heads of their replies. */
export class TargetReplies {
    private readonly unknownHeaders: UnknownHeaders;

    constructor(private readonly options: TargetRepliesOptions) {
        this.unknownHeaders = new UnknownHeaders(options.observation);
    }

    /** Records the head of a reply, unless it does not come from the target that the request was sent to. */
    record(evidence: ReplyEvidence): void {
        if (!isByTarget(evidence)) {
            return;
        }
        const { limits, rests } = this.options;
        const { target, head } = evidence;
        this.unknownHeaders.record(target, head.unknownHeaders);
        limits.recordReply(evidence);
        rests.recordReply(evidence);
        if (head.isLeaving) {
            this.recordLeaving(target);
        }
    }

    /** Records that a target says that it is leaving. */
    recordLeaving(target: Target): void {
        const { directory, observation: { logs, metrics } } = this.options;
        metrics.leavingReplies.add({});
        if (directory.recordLeaving(target)) {
            logs.targets.info({ target: target.id, startedAt: target.startedAt }, "target says that it leaves");
        }
    }
}
