import { type LayerRange } from "../directory/Target.js";

/**
 * What the gateway says to callers and targets, without the names that these things have on the wire.
 */

/** Tokens of a model request. */
export interface TokenCount {
    readonly prompt: number;
    /** The most tokens that the answer may have. */
    readonly maxAnswer: number;
}

/** What a caller's headers say. */
export interface CallerRequest {
    readonly id: string | undefined;
    /** Milliseconds that the caller will wait. */
    readonly timeLeft: number | undefined;
    readonly key: string | undefined;
    /** The last event that the caller has of a stream that broke off. */
    readonly lastEventId: string | undefined;
    readonly tokens: TokenCount | undefined;
    /** The caller's estimate of the answer's tokens; right at the median, often far off. */
    readonly answerLengthHint: number | undefined;
}

/** One hop of a chain: a target and the layers that it runs. */
export interface Hop {
    readonly targetId: string;
    /** The start of the target that holds the layers; a later one does not. */
    readonly startedAt: number | undefined;
    readonly address: string;
    readonly layers: LayerRange;
}

/** What the gateway adds to a request as it sends it to a target. */
export interface Dispatch {
    /** A target with another id refuses the request, so a reused address does no harm. */
    readonly targetId: string;
    readonly timeLeft: number;
    readonly organisation: string | undefined;
    readonly lastEventId: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number | undefined;
    readonly chain: readonly Hop[] | undefined;
    readonly bodyLength: number | undefined;
}

/** What a target's reply says before its body. */
export interface ReplyHead {
    /** The request that is answered. */
    readonly requestId: string | undefined;
    readonly isSigned: boolean;
    /** The target promises that it did not run the request and never will. */
    readonly neverExecuted: boolean;
    /** The target of the chain that is to blame for a refusal. */
    readonly faultyAddress: string | undefined;
}

/** Turns requests and replies into what is sent and back. */
export interface WireFormat {
    readCallerRequest(headers: NodeJS.Dict<string | string[]>): CallerRequest;
    /** The header list, name and value by turns. */
    writeDispatchHeaders(callerHeaders: readonly string[], dispatch: Dispatch): string[];
    readReplyHead(status: number, headers: NodeJS.Dict<string | string[]>): ReplyHead;
}
