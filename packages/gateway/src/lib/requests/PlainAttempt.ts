import { type Target } from "../directory/Target.js";
import { type OpenExchange, type ReplyMessage } from "../upstream/Exchange.js";

/** One send of a request to a target of a plain service, with what has been received of its reply. */
export interface PlainAttempt {
    readonly target: Target;
    readonly exchange: OpenExchange;
    readonly startedAt: number;
    response?: ReplyMessage;
    /** Time on the clock at which its reply began. */
    repliedAt?: number;
    readonly chunks: Buffer[];
    bytes: number;
    readonly releaseSlot: () => void;
}
