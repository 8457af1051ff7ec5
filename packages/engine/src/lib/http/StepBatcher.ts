import { type Outcome } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Step, type StepResult, stepResultSchema } from "../Engine.js";
import { type EngineClient } from "./EngineClient.js";
import { methodPath, stepFrameSchema } from "./engineMethods.js";
import { FrameReader } from "./frames.js";
import { fromWireOutcome, protocolViolation, unpackBody } from "./wireOutcome.js";

interface PendingStep {
    readonly step: Step;
    readonly finish: (outcome: Outcome<StepResult>) => void;
}

/**
 * Sends the steps submitted in one turn of the event loop in a single request. A step waits while an earlier step of
 * its session is in flight, since requests on two connections may arrive out of order.
 *
 * @internal
 */
export class StepBatcher {
    private nextBatch: PendingStep[] = [];
    /** For each session with a step in flight, the steps queued behind it. */
    private readonly sessions = new Map<string, PendingStep[]>();

    /**
     * @param client - Posts the batches.
     * @param timeout - Milliseconds before a batch times out.
     * @param frameLimit - Maximum size in bytes of the outcome of a step.
     */
    constructor(
        private readonly client: EngineClient,
        private readonly timeout: number,
        private readonly frameLimit: number,
    ) {}

    submit(step: Step): Promise<Outcome<StepResult>> {
        return new Promise(finish => {
            const waiting = this.sessions.get(step.session);
            if (waiting !== undefined) {
                waiting.push({ step, finish });
                return;
            }
            this.sessions.set(step.session, []);
            this.addToNextBatch({ step, finish });
        });
    }

    private addToNextBatch(pending: PendingStep): void {
        this.nextBatch.push(pending);
        if (this.nextBatch.length === 1) {
            setImmediate(() => void this.flush());
        }
    }

    private async flush(): Promise<void> {
        const batch = this.nextBatch;
        this.nextBatch = [];
        const unanswered = new Map(batch.entries());
        const frames = new FrameReader(this.frameLimit);
        const outcome = await this.client.post(
            methodPath("steps"),
            batch.map(({ step }) => step),
            this.timeout,
            chunk => this.receiveChunk(frames, chunk, unanswered),
        );
        const remainingOutcome: Outcome<never> = outcome.isErr
            ? Result.err(outcome.error)
            : protocolViolation("the engine's response ended without an outcome for this step");
        for (const pending of unanswered.values()) {
            this.finish(pending, remainingOutcome);
        }
    }

    /** Completes the steps whose outcomes are in a chunk of the response; returns false if the chunk is invalid. */
    private receiveChunk(frames: FrameReader, chunk: Buffer, unanswered: Map<number, PendingStep>): boolean {
        const bodies = frames.push(chunk);
        return bodies !== undefined && bodies.every(body => this.receiveFrame(body, unanswered));
    }

    private receiveFrame(body: Buffer, unanswered: Map<number, PendingStep>): boolean {
        const parsed = stepFrameSchema.safeParse(unpackBody(body));
        if (!parsed.success) {
            return false;
        }
        const [index, wire] = parsed.data;
        const pending = unanswered.get(index);
        if (pending === undefined) {
            return false;
        }
        unanswered.delete(index);
        this.finish(pending, fromWireOutcome(wire, stepResultSchema));
        return true;
    }

    private finish({ step, finish }: PendingStep, outcome: Outcome<StepResult>): void {
        const next = this.sessions.get(step.session)?.shift();
        if (next === undefined) {
            this.sessions.delete(step.session);
        }
        else {
            this.addToNextBatch(next);
        }
        finish(outcome);
    }
}
