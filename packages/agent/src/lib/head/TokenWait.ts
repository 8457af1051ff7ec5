import { failure, LoopWatch, requestCodes } from "@waxwingspar/utils";
import { type AgentContext } from "../AgentContext.js";
import { type ChainFault } from "../faults.js";
import { type Timeouts } from "../modelLimits.js";
import { type StageState, stageStateSchema, stateMethodName } from "../stage/stateMethod.js";
import { Watchdog } from "../stage/Watchdog.js";
import { type BlockingStage, findBlockingStage } from "./findBlockingStage.js";
import { type LaterStage } from "./LaterStages.js";

/** @internal */
export interface TokenWaitOptions {
    readonly context: AgentContext;
    readonly timeouts: Timeouts;
    readonly request: string;
    readonly epoch: number;
    /** The later stages with their links. */
    readonly members: () => readonly LaterStage[];
    /** Number of positions that the head's own stage has completed and forwarded. */
    readonly ownPassed: () => number;
    /** Called when the token is given up. */
    readonly lost: (fault: ChainFault) => void;
}

/**
 * Share of the timeout of a query, from 0 to 1, for which this process may be blocked before an absent answer counts as
 * the stage's own silence. All stages may have answered a process that did not read its input.
 */
const maxBlockedShare = 0.25;

/**
 * The head's wait for the next token. If it does not arrive in time, the head queries the progress of every stage: a
 * stage that is working gets more time, and a stage that does not answer, or that a frame does not reach, is at fault.
 *
 * @internal
 */
export class TokenWait {
    private readonly watchdog: Watchdog;
    private count = 0;
    private requiredPosition = 0;
    private since = 0;
    /** Number of the current wait, so that answers to a query of an earlier wait are ignored. */
    private waitNumber = 0;
    /** The sum of the progress of all stages at the last query. */
    private progress = 0;
    /** The stage that a frame had not reached at the last query. */
    private suspect: string | undefined;
    /** Measures for how long this process is blocked from the first query of a wait to its end. */
    private loop: LoopWatch | undefined;

    constructor(private readonly options: TokenWaitOptions) {
        this.watchdog = new Watchdog(options.context.clock, () => void this.checkStages());
    }

    /** True while a token is expected. */
    get waiting(): boolean {
        return this.count > 0;
    }

    /**
     * Starts waiting for a token.
     *
     * @param position - The position of the token; all positions before it must pass every stage.
     * @param count - The number of positions that are run for it.
     */
    expect(position: number, count: number): void {
        this.waitNumber++;
        this.count = count;
        this.requiredPosition = position;
        this.since = this.options.context.clock.now();
        this.suspect = undefined;
        this.progress = 0;
        this.stopWatch();
        // The first query is due after the time for one chunk, so that a dead stage is found during a long prompt.
        const { timeouts, context } = this.options;
        this.watchdog.expect(timeouts.silence(Math.min(count, context.settings.prefillChunk)));
    }

    clear(): void {
        this.count = 0;
        this.stopWatch();
        this.watchdog.clear();
    }

    stop(): void {
        this.count = 0;
        this.stopWatch();
        this.watchdog.stop();
    }

    private async checkStages(): Promise<void> {
        const { waitNumber, requiredPosition } = this;
        const { clock, settings } = this.options.context;
        const loop = this.loop ??= new LoopWatch(clock);
        const blockedBefore = loop.blockedTime;
        const members = this.options.members();
        const states = await Promise.all(members.map(member => this.fetchState(member)));
        if (waitNumber !== this.waitNumber || !this.waiting) {
            return;
        }
        if (loop.blockedTime - blockedBefore > settings.stateTimeout * maxBlockedShare) {
            this.continueOrGiveUp(undefined);
            return;
        }
        const targets = members.map(member => member.stage.target);
        const ownPassed = this.options.ownPassed();
        const judgement = findBlockingStage(requiredPosition, ownPassed, targets, states);
        const progress = states.reduce((sum, state) => sum + (state?.taken ?? 0) + (state?.passed ?? 0), ownPassed);
        const moved = progress !== this.progress;
        this.progress = progress;
        this.act(judgement.kind, judgement.target, moved);
    }

    private act(kind: BlockingStage["kind"], target: string | undefined, moved: boolean): void {
        const suspectedTwice = kind === "unreached" && this.suspect === target && !moved;
        if (kind === "dead" || suspectedTwice) {
            this.giveUp(target);
            return;
        }
        this.suspect = kind === "unreached" ? target : undefined;
        this.continueOrGiveUp(target);
    }

    /** Waits for another while, unless the stages have had the longest time that a token may take. */
    private continueOrGiveUp(target: string | undefined): void {
        const { context, timeouts } = this.options;
        const waited = context.clock.now() - this.since - (this.loop?.blockedTime ?? 0);
        if (waited >= timeouts.hard(this.count)) {
            this.giveUp(target);
            return;
        }
        this.watchdog.expect(timeouts.silence(1));
    }

    private giveUp(target: string | undefined): void {
        this.count = 0;
        this.stopWatch();
        const message = `no token came in time; ${target ?? "the head's own stage"} is at fault`;
        const { context, lost } = this.options;
        lost({ failure: failure(requestCodes.stageLost, message), target: target ?? context.target });
    }

    private stopWatch(): void {
        this.loop?.stop();
        this.loop = undefined;
    }

    private async fetchState({ link }: LaterStage): Promise<StageState | undefined> {
        const { request, epoch, context } = this.options;
        const answer = await link?.request(stateMethodName, { request, epoch }, context.settings.stateTimeout);
        const state = answer?.isOk === true ? stageStateSchema.safeParse(answer.value) : undefined;
        return state?.success === true ? state.data : undefined;
    }
}
