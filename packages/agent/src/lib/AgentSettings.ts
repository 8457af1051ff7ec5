/**
 * Settings of an agent. Each has a default; docs/design/pipeline.md describes when to change one.
 *
 * @public
 */
export interface AgentSettings {
    /** Prompt positions that are processed in one step, so that a long prompt keeps several stages busy. */
    readonly prefillChunk: number;
    /** Timeout of a step of one position, as a multiple of the token bound. After it the engine's health is checked. */
    readonly stepPatience: number;
    /** Timeout for a token at the head, as a multiple of the token bound. After it the head queries the stages. */
    readonly silencePatience: number;
    /** Lower limit in milliseconds of the step and silence timeouts, regardless of the token bound. */
    readonly minimumTimeout: number;
    /** Timeout in milliseconds of the state query to a stage after a token did not arrive. */
    readonly stateTimeout: number;
    /** Milliseconds in which an engine whose step timed out must answer a health check, or else counts as hung. */
    readonly engineAnswerTime: number;
    /** Fraction of the first-token bound within which all stages must have joined. */
    readonly joinShare: number;
    /** Timeout in milliseconds of a KV cache import from another agent. After it the prompt is recomputed instead. */
    readonly importTimeout: number;
    /** Milliseconds for which the KV cache of a failed attempt stays exportable. */
    readonly retainCache: number;
    /** Milliseconds to wait for a missing frame while later ones are buffered. */
    readonly gapTimeout: number;
    /** Maximum number of frames that are buffered behind a missing one. */
    readonly heldFrames: number;
    /** Maximum number of prompt positions by which a stage may be ahead of the next stage. */
    readonly frameWindow: number;
    /** Bytes queued on a link above which no further prompt chunk is run and no further answer is read for it. */
    readonly linkHighWater: number;
    /** Maximum number of concurrent attempts of later stages, per slot of the engine. */
    readonly attemptsPerSlot: number;
    /** Maximum number of finished requests whose epoch is remembered. */
    readonly finishedRequests: number;
    /** Milliseconds for which the epoch of a finished request is remembered. */
    readonly finishedRetention: number;
    /** Maximum number of stopped claims that are remembered. The outcome of evicted ones is unknown. */
    readonly claims: number;
    /** Milliseconds for which a stopped claim is remembered. */
    readonly claimRetention: number;
    /** Maximum bytes of answers that are kept for duplicates. */
    readonly claimBytes: number;
    /** Milliseconds for which an answer is kept for duplicates. */
    readonly claimAnswerRetention: number;
    /** Maximum bytes of answers that a leaving target stores for duplicates. */
    readonly leftClaimBytes: number;
    /** Milliseconds for which the claims that a leaving target stored are kept. */
    readonly leftClaimRetention: number;
    /** Milliseconds between two load reports on a link that carries traffic. */
    readonly loadInterval: number;
    /** Bytes per second, over all links, for load reports sent as separate messages; see docs/CAPACITY.md. */
    readonly loadBytesPerSecond: number;
    /** Milliseconds between two polls of the engine's cache events; 0 disables them, and reports omit the cache. */
    readonly cachePollInterval: number;
    /** Milliseconds after the start of leaving at which running requests are handed over to other chains. */
    readonly handOverAfter: number;
    /** Minimum milliseconds for which a leaving target stays up, to refuse requests that were in flight. */
    readonly leaveLinger: number;
    /** Milliseconds after the start of leaving at which the remaining requests are interrupted. */
    readonly drainLimit: number;
    /**
     * Milliseconds after its announcement within which a leaving target must stop accepting work. Recorded in the
     * history, whose checker reports work that was accepted later.
     */
    readonly leavingBound: number;
    /** Maximum bytes in one piece of a plain service's answer. */
    readonly replyPiece: number;
    /** Bytes of one answer of a plain service that are kept for duplicates. */
    readonly replyMemory: number;
}

/** @public */
export const defaultAgentSettings: AgentSettings = {
    prefillChunk: 256,
    stepPatience: 2,
    silencePatience: 3,
    minimumTimeout: 100,
    stateTimeout: 200,
    engineAnswerTime: 100,
    joinShare: 0.5,
    importTimeout: 500,
    retainCache: 3000,
    gapTimeout: 200,
    heldFrames: 64,
    frameWindow: 1024,
    linkHighWater: 4_194_304,
    attemptsPerSlot: 4,
    finishedRequests: 20_000,
    finishedRetention: 600_000,
    claims: 20_000,
    claimRetention: 3_600_000,
    claimBytes: 33_554_432,
    claimAnswerRetention: 900_000,
    leftClaimBytes: 4_194_304,
    leftClaimRetention: 86_400_000,
    loadInterval: 250,
    loadBytesPerSecond: 800,
    cachePollInterval: 1000,
    handOverAfter: 10_000,
    leaveLinger: 500,
    drainLimit: 120_000,
    leavingBound: 2000,
    replyPiece: 65_536,
    replyMemory: 1_048_576,
};
