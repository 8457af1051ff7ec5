import { type Exporter, type Message, type OpenMessage, type Stage } from "@waxwingspar/transport";
import { findResultCode, requestCodes } from "@waxwingspar/utils";
import { openMessage, type TestEntry } from "./TestEntry.js";

/** @internal */
export interface TestRunOptions {
    readonly entry: TestEntry;
    readonly request: string;
    /** Chooses a chain without the failed targets for an attempt; undefined if there is none. */
    readonly choose: (excluded: ReadonlySet<string>, epoch: number) => Stage[] | undefined;
    readonly changes?: Partial<OpenMessage>;
    /** The idempotency key of a request that runs at most once; its claim is in `changes`. */
    readonly key?: string;
    /** Milliseconds between the failure of an attempt and the next one; 0 by default. */
    readonly retryDelay?: number;
    /** Flow-control window of the caller in tokens; unlimited by default. */
    readonly window?: number;
}

/**
 * A request at an entry that is resumed on another chain after a failure, as in the entry package.
 *
 * @internal
 */
export class TestRun {
    readonly ids: number[] = [];
    text = "";
    epoch = -1;
    outcome: "completed" | "not run" | "unknown" | undefined;
    code: number | undefined;
    /** The clock's time in milliseconds at which each token arrived. */
    readonly times: number[] = [];
    private stages: Stage[] = [];
    private exporters: Exporter[] = [];
    private readonly excluded = new Set<string>();
    private ran = false;

    constructor(private readonly options: TestRunOptions) {
        const { entry, request, key } = options;
        const earlier = entry.onMessage;
        entry.onMessage = message => {
            earlier?.(message);
            this.receive(message);
        };
        const earlierLost = entry.onLost;
        entry.onLost = target => {
            earlierLost?.(target);
            this.lost(target);
        };
        const idempotent = key === undefined;
        entry.record({ event: "request.received", request, organisation: "ports", route: "demo", idempotent, key });
        void this.attempt();
    }

    private async attempt(): Promise<void> {
        const { entry, request, choose, changes, window = 1000 } = this.options;
        this.epoch++;
        const stages = choose(this.excluded, this.epoch);
        const head = stages?.[0]?.target;
        if (stages === undefined || head === undefined) {
            this.end(this.ran ? "unknown" : "not run", requestCodes.noCapacity.number);
            return;
        }
        this.stages = stages;
        const { epoch } = this;
        const targets = stages.map(stage => stage.target);
        entry.record({ event: "attempt.started", request, epoch, targets, resumeAt: this.ids.length });
        const link = await entry.tryLink(head);
        if (link === undefined) {
            this.fail(head, "not run");
            return;
        }
        const produced = [...this.ids];
        const { exporters } = this;
        link.send(openMessage({ ...changes, request, epoch, stages, produced, exporters, credit: window }));
    }

    private receive(message: Message): void {
        if (!("request" in message) || message.request !== this.options.request || this.outcome !== undefined) {
            return;
        }
        if (!("epoch" in message) || message.epoch !== this.epoch) {
            return;
        }
        switch (message.type) {
            case "tokens":
                this.takeTokens(message.position, message.ids, message.texts);
                return;
            case "done":
                this.end("completed", undefined);
                return;
            case "failed":
                this.code = message.failure.code;
                this.fail(
                    message.target,
                    findResultCode(message.failure.code)?.execution ?? "unknown",
                    message.exportable === true,
                );
                return;
            default:
        }
    }

    private takeTokens(position: number, ids: readonly number[], texts: readonly string[]): void {
        const { entry, request, window } = this.options;
        if (position !== this.ids.length) {
            throw new Error(`expected position ${this.ids.length} but got ${position}`);
        }
        entry.record({ event: "tokens.sent", request, epoch: this.epoch, position, ids: [...ids] });
        this.ids.push(...ids);
        this.text += texts.join("");
        this.times.push(...ids.map(() => entry.clock.now()));
        this.ran = true;
        if (window !== undefined) {
            this.grant(this.ids.length + window);
        }
    }

    private grant(upTo: number): void {
        const { request, entry } = this.options;
        const { epoch } = this;
        void entry.tryLink(this.stages[0]?.target ?? "").then(link =>
            link?.send({ type: "credit", request, epoch, upTo })
        );
    }

    private lost(target: string): void {
        if (this.outcome === undefined && this.stages[0]?.target === target) {
            this.fail(target, "unknown");
        }
    }

    private fail(
        target: string | undefined,
        execution: "completed" | "not run" | "unknown",
        exportable = false,
    ): void {
        this.ran ||= execution !== "not run";
        const { epoch } = this;
        if (this.isFinal(execution)) {
            this.end(this.ran ? "unknown" : "not run", this.code);
            return;
        }
        const exporters = execution === "not run" ? this.exporters : this.stages.map(stage => ({ ...stage, epoch }));
        this.exporters = exporters.filter(stage => exportable || stage.target !== target);
        if (target !== undefined) {
            this.excluded.add(target);
        }
        this.stages = [];
        const { retryDelay = 0, entry } = this.options;
        if (retryDelay === 0) {
            void this.attempt();
            return;
        }
        entry.clock.schedule(() => void this.attempt(), retryDelay);
    }

    /** Returns true if a claimed request must not be retried: its runner refused it, or its outcome is unknown. */
    private isFinal(execution: "completed" | "not run" | "unknown"): boolean {
        const { outcomeUnknown, inProgress } = requestCodes;
        const isUndetermined = this.code === outcomeUnknown.number || this.code === inProgress.number;
        return this.options.key !== undefined && (execution === "not run" || isUndetermined);
    }

    private end(outcome: "completed" | "not run" | "unknown", code: number | undefined): void {
        this.outcome = outcome;
        const { entry, request } = this.options;
        entry.record({ event: "request.ended", request, outcome, code, tokens: this.ids.length });
    }
}
