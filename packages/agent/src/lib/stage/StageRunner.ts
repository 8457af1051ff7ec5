import { type Engine, type StepResult } from "@waxwingspar/engine";
import { type HistoryRecorder } from "@waxwingspar/history";
import { type Clock, type Failure, failure, type Outcome, requestCodes } from "@waxwingspar/utils";
import { type Timeouts } from "../modelLimits.js";
import { type EngineActivity } from "./EngineActivity.js";
import { Watchdog } from "./Watchdog.js";

/**
 * Consecutive positions for one stage to run: tokens at the first stage, activations at the others.
 *
 * @internal
 */
export interface StageWork {
    readonly position: number;
    readonly count: number;
    readonly tokens?: number[];
    readonly activations?: Uint8Array<ArrayBuffer>;
    /** True if no token is to be sampled after these positions. */
    readonly prefill: boolean;
}

/** @internal */
export interface SampledToken {
    /** The position of the token in the sequence. */
    readonly position: number;
    readonly token: number;
    readonly text: string;
    readonly end: boolean;
}

/** @internal */
export interface StageRunnerOptions {
    readonly engine: Engine;
    readonly clock: Clock;
    readonly record: HistoryRecorder;
    readonly target: string;
    readonly request: string;
    readonly epoch: number;
    /** The id of the session at the engine. */
    readonly session: string;
    readonly version: string;
    readonly first: number;
    readonly last: number;
    /** True if this stage holds the model's last layer and samples the tokens. */
    readonly isLastStage: boolean;
    readonly activity: EngineActivity;
    readonly timeouts: Timeouts;
    /** Called after every step, once its result has been forwarded. */
    readonly passed?: (work: StageWork) => void;
    /** Forwards activations to the next stage. */
    readonly forward: (work: StageWork, activations: Uint8Array<ArrayBuffer>) => void;
    readonly sampled: (token: SampledToken) => void;
    /** Called once, when the engine has failed or hung. */
    readonly failed: (failure: Failure) => void;
    /** Returns true to hold back further prompt chunks until {@link StageRunner.resume} is called. */
    readonly congested?: (work: StageWork) => boolean;
}

/**
 * Runs the layers of one stage for one attempt: one step at a time, in order of position, each with a timeout.
 *
 * @internal
 */
export class StageRunner {
    private readonly waiting: StageWork[] = [];
    private current: StageWork | undefined;
    private stopped = false;
    private readonly watchdog: Watchdog;
    private isStarted = false;
    private passedTo = 0;
    private startedAt = 0;

    constructor(private readonly options: StageRunnerOptions) {
        this.watchdog = new Watchdog(options.clock, () => void this.handleOverdueStep());
    }

    /** Number of positions of the sequence whose result has been forwarded. */
    get passed(): number {
        return this.passedTo;
    }

    /** True once a step has been sent to the engine. */
    get started(): boolean {
        return this.isStarted;
    }

    submit(work: StageWork): void {
        if (this.stopped) {
            return;
        }
        this.waiting.push(work);
        this.resume();
    }

    /** Starts the next step, if none is running and the next stage is not congested. */
    resume(): void {
        if (this.stopped || this.current !== undefined) {
            return;
        }
        const work = this.waiting[0];
        if (work === undefined || (work.prefill && this.options.congested?.(work) === true)) {
            return;
        }
        this.waiting.shift();
        this.run(work);
    }

    /** Discards waiting steps and ignores the result of the running one. The owner closes the engine's session. */
    stop(): void {
        this.stopped = true;
        this.waiting.length = 0;
        this.watchdog.stop();
    }

    private run(work: StageWork): void {
        const { engine, session, isLastStage, timeouts, clock } = this.options;
        this.current = work;
        this.isStarted = true;
        this.startedAt = clock.now();
        this.watchdog.expect(timeouts.step(work.count));
        const { position, count, tokens, activations } = work;
        engine.step({ session, position, count, tokens, activations, sample: isLastStage && !work.prefill }).then(
            outcome => this.finished(work, outcome),
            (error: unknown) => this.fail(failure(requestCodes.engineFailed, `engine call failed: ${String(error)}`)),
        );
    }

    private finished(work: StageWork, outcome: Outcome<StepResult>): void {
        if (outcome.isOk) {
            this.recordRun(work);
        }
        if (this.stopped) {
            return;
        }
        this.current = undefined;
        this.watchdog.clear();
        this.options.activity.stepFinished();
        if (outcome.isErr) {
            this.fail(outcome.error);
            return;
        }
        this.passedTo = work.position + work.count;
        this.deliver(work, outcome.value);
        this.options.passed?.(work);
        this.resume();
    }

    private deliver(work: StageWork, result: StepResult): void {
        if (!this.options.isLastStage) {
            if (result.activations === undefined) {
                this.fail(failure(requestCodes.engineFailed, "the engine returned no activations"));
                return;
            }
            this.options.forward(work, result.activations);
            return;
        }
        if (work.prefill) {
            return;
        }
        if (result.token === undefined) {
            this.fail(failure(requestCodes.engineFailed, "the engine sampled no token"));
            return;
        }
        const { token, text = "", end = false } = result;
        this.options.sampled({ position: work.position + work.count, token, text, end });
    }

    private recordRun(work: StageWork): void {
        const { record, request, epoch, target, version, first, last } = this.options;
        const { position, count } = work;
        record({ event: "layers.run", request, epoch, target, version, first, last, position, count });
    }

    /** Handles a step that exceeds its timeout. While the engine is alive, the step gets more time, up to a limit. */
    private async handleOverdueStep(): Promise<void> {
        const work = this.current;
        if (work === undefined) {
            return;
        }
        const { timeouts, activity, clock } = this.options;
        const timeout = timeouts.step(work.count);
        if (clock.now() - this.startedAt < timeouts.hard(work.count)) {
            const alive = activity.idle < timeout || await activity.isAlive();
            if (this.stopped || this.current !== work) {
                return;
            }
            if (alive) {
                this.watchdog.expect(timeout);
                return;
            }
        }
        this.fail(failure(requestCodes.engineFailed, "the engine did not finish a step in time"));
    }

    private fail(reason: Failure): void {
        if (this.stopped) {
            return;
        }
        this.stop();
        this.options.failed(reason);
    }
}
