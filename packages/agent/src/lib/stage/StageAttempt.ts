import { type Span } from "@opentelemetry/api";
import { parentContext } from "@waxwingspar/telemetry";
import { type FrameMessage, type JoinMessage, type Link } from "@waxwingspar/transport";
import { type Failure, failure, requestCodes, type Timer, transportCodes } from "@waxwingspar/utils";
import { type AgentContext, type Attempt, type ModelVersion } from "../AgentContext.js";
import { type AttemptEvent, createAttemptChart } from "../charts/attemptChart.js";
import { asNotRun, asStarted, type ChainFault, toWire } from "../faults.js";
import { type Timeouts, timeoutsOf } from "../modelLimits.js";
import { FrameOrder } from "./FrameOrder.js";
import { type SampledToken, type StageWork } from "./StageRunner.js";
import { StageSession } from "./StageSession.js";

/**
 * An attempt at a later stage of its chain: receives frames, runs its layers, and forwards the result.
 *
 * @internal
 */
export class StageAttempt implements Attempt {
    readonly epoch: number;
    private readonly chart = createAttemptChart();
    private readonly session: StageSession;
    private readonly timeouts: Timeouts;
    private readonly span: Span;
    private readonly unwatch: (() => void)[] = [];
    private readonly deadline: Timer;
    private order: FrameOrder<FrameMessage> | undefined;
    private gapTimer: Timer | undefined;
    /** Expires when the engine is not ready in time. */
    private readyTimer: Timer | undefined;
    private previousLink: Link | undefined;

    /**
     * @param message - The `join` message of the head.
     * @param head - The link to the head.
     */
    constructor(
        private readonly context: AgentContext,
        private readonly message: JoinMessage,
        private readonly head: Link,
    ) {
        const { request, epoch, model, version, adapter, priority, sampling, stages, index, tokens } = message;
        this.epoch = epoch;
        this.timeouts = timeoutsOf(context.configuration, model, context.settings);
        const { timeouts } = this;
        this.session = new StageSession(context, {
            request,
            epoch,
            model,
            version,
            adapter,
            priority,
            sampling,
            stages,
            index,
            tokens,
            exporters: message.exporters,
            timeouts,
        }, {
            sampled: token => this.sendSampled(token),
            passed: work => this.grantCredit(work),
            failed: fault => this.fail(fault),
        });
        this.span = context.tracer.startSpan("agent.stage", {
            attributes: { "waxwingspar.request": request, "waxwingspar.epoch": epoch, "waxwingspar.stage": index },
        }, parentContext(message.traceparent));
        this.deadline = context.clock.schedule(() => this.expire(), message.timeLeft);
    }

    get uses(): ModelVersion {
        return this.message;
    }

    get active(): boolean {
        return !this.chart.ended;
    }

    /** Number of positions whose frames have arrived, and of those whose result has been forwarded. */
    get progress(): { readonly taken: number; readonly passed: number; } {
        return this.session.progress;
    }

    /** Opens the engine session and reports to the head when it is ready. */
    async prepare(): Promise<void> {
        this.chart.send("start");
        this.unwatch.push(this.context.links.watch(this.head, () => this.headLost()));
        const timeout = this.timeouts.join(this.message.exporters.length > 0);
        this.readyTimer = this.context.clock.schedule(() => this.notReady(), timeout);
        const prepared = await this.session.prepare();
        if (this.chart.ended) {
            return;
        }
        if (prepared.isErr) {
            this.fail(prepared.error);
            return;
        }
        this.chart.send("ready");
        this.readyTimer.cancel();
        const { request, epoch } = this.message;
        const { record, target, settings } = this.context;
        record({ event: "work.accepted", request, epoch, target });
        this.order = new FrameOrder(settings.heldFrames, prepared.value);
        this.head.send({ type: "joined", request, epoch, target, cached: prepared.value });
    }

    /** Handles a frame of this attempt. */
    frame(frame: FrameMessage, link: Link): void {
        if (this.chart.state !== "running" || this.order === undefined) {
            this.context.metrics.dropped?.("frame");
            return;
        }
        if (frame.layer !== this.message.stages[this.message.index]?.first) {
            this.context.metrics.dropped?.("frame");
            this.context.log.warn(
                { request: frame.request, layer: frame.layer },
                "stage: frame for other layers dropped",
            );
            return;
        }
        this.watchPrevious(link);
        const verdict = this.order.accept(frame);
        switch (verdict) {
            case "deliver":
                this.deliver(frame);
                return;
            case "held":
                this.gapTimer ??= this.context.clock.schedule(() => this.failOnGap(), this.context.settings.gapTimeout);
                return;
            case "repeat":
                this.context.metrics.dropped?.("frame");
                return;
            case "broken":
                this.failOnGap();
        }
    }

    /** Applies credit of the next stage, which accepts frames before this position. */
    grant(upTo: number): void {
        this.session.grant(upTo);
    }

    /** Handles a cancellation by the head. */
    cancel(retain: boolean): void {
        this.end("cancel", retain);
    }

    supersede(): void {
        this.end("cancel", true);
    }

    abandon(): void {
        this.end("cancel", false);
    }

    handOver(): void {
        this.fail({
            failure: failure(requestCodes.stageLost, "the target is leaving; continue on another target"),
            target: this.context.target,
            exportable: true,
        });
    }

    private deliver(frame: FrameMessage): void {
        this.run(frame);
        let next = this.order?.takeHeld();
        while (next !== undefined) {
            this.run(next);
            next = this.order?.takeHeld();
        }
        if (this.gapTimer !== undefined) {
            this.gapTimer.cancel();
            this.gapTimer = undefined;
            if (this.order?.waiting === true) {
                this.gapTimer = this.context.clock.schedule(() => this.failOnGap(), this.context.settings.gapTimeout);
            }
        }
    }

    private run(frame: FrameMessage): void {
        const { position, count, prefill, data } = frame;
        this.session.submit({ position, count, prefill, activations: data });
    }

    /** Watches the link on which frames arrive, so that the loss of the previous stage is detected immediately. */
    private watchPrevious(link: Link): void {
        if (this.previousLink === link) {
            return;
        }
        this.previousLink = link;
        if (link !== this.head) {
            this.unwatch.push(this.context.links.watch(link, () => this.previousLost(link)));
        }
    }

    private previousLost(link: Link): void {
        if (this.previousLink !== link) {
            return;
        }
        const target = this.message.stages[this.message.index - 1]?.target;
        this.fail({ failure: failure(transportCodes.connectionLost, "the link to the previous stage closed"), target });
    }

    private headLost(): void {
        this.end("cancel", true);
    }

    private notReady(): void {
        this.fail({ failure: failure(requestCodes.noCapacity, "the engine did not get ready in time") });
    }

    private expire(): void {
        this.fail({ failure: failure(requestCodes.deadlineExceeded, "the deadline passed") });
    }

    private failOnGap(): void {
        const target = this.message.stages[this.message.index - 1]?.target;
        const reason = `no frame for position ${this.order?.expected ?? "the start"}`;
        this.fail({ failure: failure(requestCodes.stageLost, reason), target });
    }

    /** Grants the previous stage credit for more of the prompt. Frames of single tokens need no credit. */
    private grantCredit({ position, count, prefill }: StageWork): void {
        if (prefill) {
            const { request, epoch } = this.message;
            const upTo = position + count + this.context.settings.frameWindow;
            this.previousLink?.send({ type: "credit", request, epoch, upTo });
        }
    }

    private sendSampled({ position, token, text, end }: SampledToken): void {
        const { request, epoch } = this.message;
        this.head.send({ type: "sampled", request, epoch, position, token, text, end });
    }

    private fail(fault: ChainFault): void {
        if (this.chart.ended) {
            return;
        }
        const reason = this.session.started ? asStarted(fault.failure) : asNotRun(fault.failure);
        const preparing = this.chart.state === "preparing";
        this.end(preparing ? "refuse" : "fail", true);
        if (preparing) {
            this.recordRefusal(reason);
        }
        const { request, epoch } = this.message;
        const target = fault.target ?? this.context.target;
        this.context.log.info({ request, epoch, fault: target, code: reason.code.number }, "stage: attempt failed");
        const { exportable } = fault;
        this.head.send({ type: "stageFailed", request, epoch, target, exportable, failure: toWire(reason) });
    }

    private recordRefusal(reason: Failure): void {
        const { request, epoch } = this.message;
        const { record, target } = this.context;
        record({ event: "work.refused", request, epoch, target, code: reason.code.number });
    }

    private end(event: AttemptEvent, retain: boolean): void {
        if (!this.chart.send(event)) {
            return;
        }
        this.session.close(retain);
        this.deadline.cancel();
        this.gapTimer?.cancel();
        this.readyTimer?.cancel();
        this.unwatch.forEach(stop => stop());
        this.context.table.end(this.message.request, this.epoch);
        this.context.metrics.attemptEnded?.(this.chart.state);
        this.span.setAttribute("waxwingspar.state", this.chart.state);
        this.span.end();
    }
}
