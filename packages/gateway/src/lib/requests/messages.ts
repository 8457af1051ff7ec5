import { type LayerRange } from "../directory/Target.js";

/**
 * Contents of the messages between the gateway and callers and targets, independent of their names on the wire.
 */

/** Token counts of a model request. */
export interface TokenCount {
    readonly prompt: number;
    /** Maximum number of tokens of the answer. */
    readonly maxAnswer: number;
}

/** Contents of a caller's headers. */
export interface CallerRequest {
    readonly id: string | undefined;
    /** Milliseconds that the caller is willing to wait. */
    readonly timeLeft: number | undefined;
    readonly key: string | undefined;
    /** Id of the last event that the caller received of an interrupted stream. */
    readonly lastEventId: string | undefined;
    readonly tokens: TokenCount | undefined;
    /** Ids of the parts of its prompt that other requests may share, in order, without its own last part. */
    readonly sharedParts: readonly string[];
    /** The caller's estimate of the number of answer tokens: accurate at the median, but with a large spread. */
    readonly answerLengthHint: number | undefined;
}

/** One hop of a chain: a target and the layers that it runs. */
export interface Hop {
    readonly targetId: string;
    /** Start time of the process that holds the layers; after a restart the target no longer holds them. */
    readonly startedAt: number | undefined;
    readonly address: string;
    readonly layers: LayerRange;
}

/** Information that the gateway adds to a request to a target. */
export interface Dispatch {
    /** A target with another id refuses the request, which protects against reused addresses. */
    readonly targetId: string;
    readonly timeLeft: number;
    readonly organisation: string | undefined;
    readonly lastEventId: string | undefined;
    /** 0 is the most urgent. */
    readonly priority: number | undefined;
    readonly chain: readonly Hop[] | undefined;
    readonly bodyLength: number | undefined;
}

/** What the head of a reply says about the requests that its target takes from all gateways together. */
export type StatedLimit =
    /** No limit. */
    | { readonly kind: "none"; }
    /** A number of requests per second, from 0. */
    | { readonly kind: "limited"; readonly rate: number; }
    /** A limit in a form that cannot be read. */
    | { readonly kind: "unreadable"; readonly text: string; };

/** What the head of a reply says about the time for which its target wants no requests from this gateway. */
export type StatedRest =
    /** No rest. */
    | { readonly kind: "none"; }
    /** A duration in milliseconds. */
    | { readonly kind: "asked"; readonly duration: number; }
    /** A rest in a form that cannot be read. */
    | { readonly kind: "unreadable"; readonly text: string; };

/** Contents of the headers of a target's reply. */
export interface ReplyHead {
    /** Id of the request that the reply belongs to. */
    readonly requestId: string | undefined;
    readonly isSigned: boolean;
    /** Whether the target guarantees that it has not executed the request and never will. */
    readonly neverExecuted: boolean;
    /** Address of the target of the chain that caused a refusal. */
    readonly faultyAddress: string | undefined;
    readonly limit: StatedLimit;
    readonly rest: StatedRest;
    /** Whether the target says that it is leaving and wants no new requests. */
    readonly isLeaving: boolean;
    /** Names of headers that this program does not know. */
    readonly unknownHeaders: readonly string[];
}

/** Converts requests and replies to and from their headers on the wire. */
export interface WireFormat {
    readCallerRequest(headers: NodeJS.Dict<string | string[]>): CallerRequest;
    /** @returns The headers as alternating names and values. */
    writeDispatchHeaders(callerHeaders: readonly string[], dispatch: Dispatch): string[];
    readReplyHead(status: number, headers: NodeJS.Dict<string | string[]>): ReplyHead;
}
