import { type JoinMessage, type Link } from "@waxwingspar/transport";
import { type Failure, failure, requestCodes } from "@waxwingspar/utils";
import { type AgentContext } from "../AgentContext.js";
import { closedFailure, toWire } from "../faults.js";
import { StageAttempt } from "./StageAttempt.js";

/**
 * Handles `join` messages: refuses attempts that this agent must not run, and starts the others.
 *
 * @internal
 */
export class StageRequests {
    constructor(private readonly context: AgentContext) {}

    async join(message: JoinMessage, link: Link): Promise<void> {
        const { request, epoch } = message;
        const { table, metrics } = this.context;
        const verdict = table.classify(request, epoch);
        if (verdict === "repeat") {
            metrics.dropped?.("join");
            return;
        }
        if (verdict === "stale") {
            this.fail(message, link, failure(requestCodes.staleEpoch, "a newer attempt exists"));
            return;
        }
        const refusal = this.checkState(message) ?? await this.checkHeld(message);
        // A newer attempt or a cancellation may have arrived while the engine was queried.
        if (table.classify(request, epoch) !== "new" || !link.open) {
            return;
        }
        if (refusal !== undefined) {
            this.refuse(message, link, refusal);
            return;
        }
        const attempt = new StageAttempt(this.context, message, link);
        table.begin(request, attempt);
        await attempt.prepare();
    }

    /** Refuses a `join` message that arrives after the agent has closed. */
    refuseClosed(message: JoinMessage, link: Link): void {
        this.refuse(message, link, closedFailure(false));
    }

    private checkState({ stages, index }: JoinMessage): Failure | undefined {
        const { target, load, table, held, settings } = this.context;
        if (load.leaving) {
            return failure(requestCodes.stopping, "the target is leaving");
        }
        if (stages[index]?.target !== target) {
            return failure(requestCodes.wrongTarget, `stage ${index} is ${stages[index]?.target ?? "missing"}`);
        }
        if (table.openCount >= held.slots * settings.attemptsPerSlot) {
            return failure(requestCodes.overloaded, "too many attempts are open here");
        }
        return undefined;
    }

    private checkHeld(
        { model, version, adapter, stages, index }: JoinMessage,
    ): Promise<Failure | undefined> | undefined {
        const { first = 0, last = 0 } = stages[index] ?? {};
        const needed = { model, version, adapter, first, last };
        return this.context.held.holds(needed) ? undefined : this.context.held.check(needed);
    }

    private refuse(message: JoinMessage, link: Link, reason: Failure): void {
        const { request, epoch } = message;
        const { table, record, target } = this.context;
        table.end(request, epoch);
        record({ event: "work.refused", request, epoch, target, code: reason.code.number });
        this.fail(message, link, reason);
    }

    private fail({ request, epoch }: JoinMessage, link: Link, reason: Failure): void {
        link.send({ type: "stageFailed", request, epoch, target: this.context.target, failure: toWire(reason) });
    }
}
