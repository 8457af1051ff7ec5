import { failure, requestCodes } from "@waxwingspar/utils";
import { type AgentContext } from "../AgentContext.js";
import { type ChainFault } from "../faults.js";
import { type Timeouts } from "../modelLimits.js";
import { type StageState, stageStateSchema, stateMethodName } from "../stage/stateMethod.js";
import { Watchdog } from "../stage/Watchdog.js";
import { judgeSilence, type Silence } from "./judgeSilence.js";
import { type Member } from "./LaterStages.js";

/** @internal */
export interface TokenWaitOptions {
    readonly context: AgentContext;
    readonly timeouts: Timeouts;
    readonly request: string;
    readonly epoch: number;
    /** The later stages with their links. */
    readonly members: () => readonly Member[];
    /** Positions that the head's own stage has passed on. */
    readonly ownPassed: () => number;
    /** Runs when no token will come. */
    readonly lost: (fault: ChainFault) => void;
}

/**
 * The head's wait for the token of a position. When it does not come in time, the head asks every stage how far it is:
 * one that works gets more time, and one that does not answer, or that a frame does not reach, is at fault.
 *
 * @internal
 */
export class TokenWait {
    private readonly watchdog: Watchdog;
    private count = 0;
    private wanted = 0;
    private since = 0;
    /** Counts the waits, so that answers to an earlier question are not taken for a later one. */
    private turn = 0;
    /** How far all stages together were when they were last asked. */
    private progress = 0;
    /** The stage that a frame had not reached when it was last asked. */
    private suspect: string | undefined;

    constructor(private readonly options: TokenWaitOptions) {
        this.watchdog = new Watchdog(options.context.clock, () => void this.ask());
    }

    /** True while a token is due. */
    get waiting(): boolean {
        return this.count > 0;
    }

    /**
     * Starts to wait for a token.
     *
     * @param position - The position that the token takes; all before it must pass every stage.
     * @param count - How many positions are run for it.
     */
    expect(position: number, count: number): void {
        this.turn++;
        this.count = count;
        this.wanted = position;
        this.since = this.options.context.clock.now();
        this.suspect = undefined;
        this.progress = 0;
        // The first question comes after the time of one chunk: a long prompt must not hide a dead stage.
        const { timeouts, context } = this.options;
        this.watchdog.expect(timeouts.silence(Math.min(count, context.settings.prefillChunk)));
    }

    clear(): void {
        this.count = 0;
        this.watchdog.clear();
    }

    stop(): void {
        this.count = 0;
        this.watchdog.stop();
    }

    private async ask(): Promise<void> {
        const { turn, wanted } = this;
        const members = this.options.members();
        const states = await Promise.all(members.map(member => this.askStage(member)));
        if (turn !== this.turn || !this.waiting) {
            return;
        }
        const targets = members.map(member => member.stage.target);
        const ownPassed = this.options.ownPassed();
        const judgement = judgeSilence(wanted, ownPassed, targets, states);
        const progress = states.reduce((sum, state) => sum + (state?.taken ?? 0) + (state?.passed ?? 0), ownPassed);
        const moved = progress !== this.progress;
        this.progress = progress;
        this.act(judgement.kind, judgement.target, moved);
    }

    private act(kind: Silence["kind"], target: string | undefined, moved: boolean): void {
        const { context, timeouts } = this.options;
        const tooLong = context.clock.now() - this.since >= timeouts.hard(this.count);
        const suspectedTwice = kind === "unreached" && this.suspect === target && !moved;
        if (kind === "dead" || tooLong || suspectedTwice) {
            this.count = 0;
            const message = `no token came in time; ${target ?? "the head's own stage"} is at fault`;
            this.options.lost({ failure: failure(requestCodes.stageLost, message), target: target ?? context.target });
            return;
        }
        this.suspect = kind === "unreached" ? target : undefined;
        this.watchdog.expect(timeouts.silence(1));
    }

    private async askStage({ link }: Member): Promise<StageState | undefined> {
        const { request, epoch, context } = this.options;
        const answer = await link?.request(stateMethodName, { request, epoch }, context.settings.stateTimeout);
        const state = answer?.isOk === true ? stageStateSchema.safeParse(answer.value) : undefined;
        return state?.success === true ? state.data : undefined;
    }
}
