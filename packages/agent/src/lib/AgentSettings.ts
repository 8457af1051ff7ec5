/**
 * Numbers that tune an agent. Each has a default; docs/design/pipeline.md says when to change one.
 *
 * @public
 */
export interface AgentSettings {
    /** Positions of the prompt that run in one step, so that a long prompt keeps several stages busy. */
    readonly prefillChunk: number;
    /** How many token bounds a step of one position may take before the engine is asked for a sign of life. */
    readonly stepPatience: number;
    /** How many token bounds the head waits for a token before it asks which stage is at fault. */
    readonly silencePatience: number;
    /** Milliseconds below which no step or silence timeout falls, whatever the token bound. */
    readonly minimumTimeout: number;
    /** Milliseconds for a stage to answer how far it is, when a token does not come. */
    readonly stateTimeout: number;
    /** Milliseconds in which an engine whose step takes too long must answer a question, or counts as hung. */
    readonly engineAnswerTime: number;
    /** The share of the bound on the first token that all stages together may take to get ready. */
    readonly joinShare: number;
    /** Milliseconds to fetch a KV cache from another agent before the prompt is computed again instead. */
    readonly importTimeout: number;
    /** Milliseconds for which the KV cache of a failed attempt stays exportable. */
    readonly retainCache: number;
    /** Milliseconds to wait for a missing frame while later ones are held. */
    readonly gapTimeout: number;
    /** Frames that may be held behind a gap. */
    readonly heldFrames: number;
    /** Positions of a prompt that a stage may be ahead of the next one. */
    readonly frameWindow: number;
    /** Bytes queued on a link from which on no further prompt chunk is run for it. */
    readonly linkHighWater: number;
    /** Attempts of later stages that may be open at once, for each slot of the engine. */
    readonly attemptsPerSlot: number;
    /** Finished requests whose epoch is remembered, and for how many milliseconds. */
    readonly finishedRequests: number;
    readonly finishedRetention: number;
    /** Claims that are remembered besides those that run, and milliseconds for which. Older ones count as unknown. */
    readonly claims: number;
    readonly claimRetention: number;
    /** Bytes of answers kept for duplicates, and milliseconds for which. */
    readonly claimBytes: number;
    readonly claimAnswerRetention: number;
    /** Bytes of answers that a target that leaves writes down for duplicates, and milliseconds for which they stay. */
    readonly leftClaimBytes: number;
    readonly leftClaimRetention: number;
    /** Milliseconds between two load reports on a link that carries traffic. */
    readonly loadInterval: number;
    /** Bytes per second that load reports on their own may take, over all links; see docs/CAPACITY.md. */
    readonly loadBytesPerSecond: number;
    /** Milliseconds between two looks at the engine's cache events; 0 for none, so that reports say nothing of the cache. */
    readonly cachePollInterval: number;
    /** Milliseconds after leaving from which on running requests are handed over, and the hard limit. */
    readonly handOverAfter: number;
    /** Milliseconds for which a target that leaves stays at least, to refuse what was on its way. */
    readonly leaveLinger: number;
    readonly drainLimit: number;
    /** Milliseconds after the announcement from which on the target may accept no new work; for the history. */
    readonly leavingBound: number;
    /** Bytes in one piece of a plain service's answer, and bytes of an answer that are kept for duplicates. */
    readonly replyPiece: number;
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
