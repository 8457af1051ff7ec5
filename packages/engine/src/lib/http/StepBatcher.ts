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
 * Sends the steps of one turn of the event loop in one request. A step waits while an earlier one of its session is
 * under way, since requests on two connections may overtake each other.
 *
 * @internal
 */
export class StepBatcher {
    private collected: PendingStep[] = [];
    /** For each session with a step under way, the steps that wait behind it. */
    private readonly sessions = new Map<string, PendingStep[]>();

    /**
     * @param client - Posts the batches.
     * @param timeout - Milliseconds until a batch is given up.
     * @param frameLimit - The most bytes of one step's outcome.
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
            this.collect({ step, finish });
        });
    }

    private collect(pending: PendingStep): void {
        this.collected.push(pending);
        if (this.collected.length === 1) {
            setImmediate(() => void this.flush());
        }
    }

    private async flush(): Promise<void> {
        const batch = this.collected;
        this.collected = [];
        const unanswered = new Map(batch.entries());
        const frames = new FrameReader(this.frameLimit);
        const outcome = await this.client.post(
            methodPath("steps"),
            batch.map(({ step }) => step),
            this.timeout,
            piece => this.takePiece(frames, piece, unanswered),
        );
        const rest: Outcome<never> = outcome.isErr
            ? Result.err(outcome.error)
            : protocolViolation("the engine left a step without an answer");
        for (const pending of unanswered.values()) {
            this.finish(pending, rest);
        }
    }

    /** Gives the outcomes in a piece of the answer to their steps; false if the piece cannot be read. */
    private takePiece(frames: FrameReader, piece: Buffer, unanswered: Map<number, PendingStep>): boolean {
        const bodies = frames.push(piece);
        return bodies !== undefined && bodies.every(body => this.takeFrame(body, unanswered));
    }

    private takeFrame(body: Buffer, unanswered: Map<number, PendingStep>): boolean {
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
            this.collect(next);
        }
        finish(outcome);
    }
}
