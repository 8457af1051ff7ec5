import { type Exporter, type Link, type Sampling, type Stage } from "@waxwingspar/transport";
import { type Failure, failure, requestCodes, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type AgentContext } from "../AgentContext.js";
import { callEngine } from "../callEngine.js";
import { type ChainFault } from "../faults.js";
import { importCache } from "../kv/importCache.js";
import { type SessionRecord } from "../kv/SessionTable.js";
import { type Timeouts } from "../modelLimits.js";
import { type SampledToken, StageRunner, type StageWork } from "./StageRunner.js";

/** Milliseconds after which a congested link is checked again. */
const congestionPoll = 5;

/**
 * The parameters of an attempt at one stage.
 *
 * @internal
 */
export interface StagePlan {
    readonly request: string;
    readonly epoch: number;
    readonly model: string;
    readonly version: string;
    readonly adapter?: string;
    readonly priority: number;
    readonly sampling: Sampling;
    readonly stages: readonly Stage[];
    /** The index of this stage. */
    readonly index: number;
    /** The tokens of the prompt and those produced by earlier attempts, if known. */
    readonly tokens?: readonly number[];
    readonly exporters: readonly Exporter[];
    readonly timeouts: Timeouts;
}

/** @internal */
export interface StageEvents {
    /** Called when the last stage has sampled a token. */
    readonly sampled: (token: SampledToken) => void;
    /** Called when a step has completed here. */
    readonly passed?: (work: StageWork) => void;
    /** Called once, when this stage cannot continue. */
    readonly failed: (fault: ChainFault) => void;
}

/**
 * One stage of an attempt: its engine session, the order of its steps, and the link to the next stage. Used at the head
 * and at later stages.
 *
 * @internal
 */
export class StageSession {
    private readonly session: string;
    private readonly stage: Stage;
    private readonly nextStage: Stage | undefined;
    private next: Link | undefined;
    private unwatchNext: (() => void) | undefined;
    private runner: StageRunner | undefined;
    private closed = false;
    private opened = false;
    private cached = 0;
    private imported = false;
    private taken = 0;
    /** The next stage accepts frames before this position, and frames within the window after the first position. */
    private granted = 0;
    private firstPosition: number | undefined;

    constructor(
        private readonly context: AgentContext,
        private readonly plan: StagePlan,
        private readonly events: StageEvents,
    ) {
        const stage = plan.stages[plan.index];
        if (stage === undefined) {
            throw new Error(`no stage ${plan.index} in a chain of ${plan.stages.length}`);
        }
        this.stage = stage;
        this.nextStage = plan.stages[plan.index + 1];
        this.session = `${plan.request}/${plan.epoch}`;
    }

    /** True once a step has been sent to the engine. */
    get started(): boolean {
        return this.runner?.started === true;
    }

    /** Number of positions that have been submitted, and of those whose result has been forwarded. */
    get progress(): { readonly taken: number; readonly passed: number; } {
        return { taken: this.taken, passed: this.runner?.passed ?? 0 };
    }

    /**
     * Opens the session, connects to the next stage, and imports cached positions.
     *
     * @returns The number of leading positions that the session has cached.
     */
    async prepare(): Promise<Result<number, ChainFault>> {
        const [connected, opened] = await Promise.all([this.connectNext(), this.open()]);
        if (this.closed) {
            this.dropSession(false);
            return Result.err({ failure: failure(requestCodes.cancelled, "the attempt ended during preparation") });
        }
        if (connected.isErr) {
            return Result.err(connected.error);
        }
        if (opened.isErr) {
            return Result.err({ failure: opened.error, target: this.context.target });
        }
        this.runner = this.createRunner();
        return Result.ok(this.cached);
    }

    /** Runs positions in the order in which they are submitted. */
    submit(work: StageWork): void {
        if (this.firstPosition === undefined) {
            this.firstPosition = work.position;
            this.recordReuse(work.position);
        }
        this.taken = work.position + work.count;
        this.runner?.submit(work);
    }

    /** Applies credit of the next stage, which accepts frames before this position. */
    grant(upTo: number): void {
        if (upTo > this.granted) {
            this.granted = upTo;
            this.runner?.resume();
        }
    }

    /**
     * Stops running and releases the engine session. Idempotent.
     *
     * @param retain - True to keep the KV cache for the next attempt.
     */
    close(retain: boolean): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.unwatchNext?.();
        this.runner?.stop();
        this.dropSession(retain && this.started);
    }

    private dropSession(retain: boolean): void {
        if (this.opened) {
            this.context.sessions.release(this.session, retain);
        }
    }

    private async connectNext(): Promise<Result<undefined, ChainFault>> {
        if (this.nextStage === undefined) {
            return Result.ok(undefined);
        }
        const { host, port, target } = this.nextStage;
        const link = await this.context.pool.connect({ host, port });
        if (link.isErr) {
            return Result.err({ failure: link.error, target });
        }
        if (!this.closed) {
            this.next = link.value;
            this.unwatchNext = this.context.links.watch(link.value, () => this.nextLost(target));
        }
        return Result.ok(undefined);
    }

    private nextLost(target: string): void {
        const reason = failure(transportCodes.connectionLost, `the link to ${target} closed`);
        this.fail({ failure: reason, target });
    }

    private async open(): Promise<Result<undefined, Failure>> {
        const { plan, stage, context } = this;
        const { model, version, adapter, priority, sampling, tokens } = plan;
        const wantedSession = {
            session: this.session,
            model,
            version,
            adapter,
            first: stage.first,
            last: stage.last,
            priority,
            temperature: sampling.temperature,
            topP: sampling.topP,
            seed: sampling.seed,
            tokens: tokens === undefined ? undefined : [...tokens],
        };
        const opened = await callEngine(() => context.engine.open(wantedSession));
        if (opened.isErr) {
            // The engine may have been restarted without these layers.
            void context.held.refresh();
            return Result.err(opened.error);
        }
        this.opened = true;
        const record = this.createRecord();
        context.sessions.add(record);
        this.cached = opened.value.cached;
        const wanted = Math.max(0, (tokens?.length ?? 0) - 1);
        const imported = await importCache(context, record, plan, this.cached, wanted);
        if (imported > this.cached) {
            this.cached = imported;
            this.imported = true;
        }
        return Result.ok(undefined);
    }

    private createRecord(): SessionRecord {
        const { request, epoch, model, version, adapter, tokens } = this.plan;
        const { first, last } = this.stage;
        return {
            request,
            epoch,
            session: this.session,
            model,
            version,
            adapter,
            first,
            last,
            known: tokens?.length ?? 0,
        };
    }

    private createRunner(): StageRunner {
        const { context, plan, stage } = this;
        return new StageRunner({
            engine: context.engine,
            clock: context.clock,
            activity: context.activity,
            record: context.record,
            target: context.target,
            request: plan.request,
            epoch: plan.epoch,
            session: this.session,
            version: plan.version,
            first: stage.first,
            last: stage.last,
            isLastStage: this.nextStage === undefined,
            timeouts: plan.timeouts,
            passed: work => this.events.passed?.(work),
            forward: (work, activations) => this.forward(work, activations),
            sampled: this.events.sampled,
            failed: reason => this.fail({ failure: reason, target: context.target }),
            congested: work => this.congested(work),
        });
    }

    private forward(work: StageWork, data: Uint8Array<ArrayBuffer>): void {
        const { request, epoch } = this.plan;
        const { position, count, prefill } = work;
        const layer = this.stage.last + 1;
        this.next?.send({ type: "frame", request, epoch, position, count, layer, prefill, data });
    }

    /** Whether the next stage, or the link to it, is too far behind to send another chunk of the prompt. */
    private congested(work: StageWork): boolean {
        if (this.next === undefined) {
            return false;
        }
        const { frameWindow, linkHighWater } = this.context.settings;
        const granted = Math.max(this.granted, (this.firstPosition ?? 0) + frameWindow);
        if (work.position >= granted) {
            // The next grant of credit resumes the runner. Chunks larger than the window are sent one at a time.
            return true;
        }
        if (this.next.queuedBytes < linkHighWater) {
            return false;
        }
        this.context.clock.schedule(() => this.runner?.resume(), congestionPoll);
        return true;
    }

    private recordReuse(count: number): void {
        if (count === 0) {
            return;
        }
        const { request, epoch, version } = this.plan;
        const { first, last } = this.stage;
        const from = this.imported ? "import" : "prefix";
        this.context.record({
            event: "layers.reused",
            request,
            epoch,
            target: this.context.target,
            first,
            last,
            count,
            from,
            version,
        });
    }

    private fail(fault: ChainFault): void {
        if (!this.closed) {
            this.events.failed(fault);
        }
    }
}
