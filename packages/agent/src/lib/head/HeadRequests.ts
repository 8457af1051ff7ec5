import { type Link, type OpenMessage, type Stage } from "@waxwingspar/transport";
import { type Failure, failure, requestCodes } from "@waxwingspar/utils";
import { type AgentContext } from "../AgentContext.js";
import { type AnswerClaims, type AnswerRecord, RecordSink, toFollower } from "../claims/AnswerRecord.js";
import { type ClaimUse } from "../claims/ClaimTable.js";
import { closedFailure, toWire } from "../faults.js";
import { DuplicateAttempt } from "./DuplicateAttempt.js";
import { EntryStream } from "./EntryStream.js";
import { HeadAttempt } from "./HeadAttempt.js";

interface StreamHandlers {
    /** Called when the link to the entry has closed. */
    readonly lost: () => void;
    readonly drained: () => void;
    readonly closed: () => void;
}

/**
 * Handles `open` messages: refuses requests that this agent must not run, starts new ones, and attaches duplicates of a
 * claimed request to the original.
 *
 * @internal
 */
export class HeadRequests {
    constructor(private readonly context: AgentContext, private readonly claims: AnswerClaims) {}

    async open(message: OpenMessage, link: Link): Promise<void> {
        const { request, epoch, claim } = message;
        const verdict = this.context.table.classify(request, epoch);
        if (verdict === "repeat") {
            this.context.metrics.dropped?.("open");
            return;
        }
        if (verdict === "stale") {
            this.fail(message, link, failure(requestCodes.staleEpoch, "a newer attempt exists"));
            return;
        }
        const refusal = this.check(message) ?? await this.checkHeld(message);
        // A newer attempt or a cancellation may have arrived while the engine was queried.
        if (this.context.table.classify(request, epoch) !== "new" || !link.open) {
            return;
        }
        if (refusal !== undefined) {
            this.refuse(message, link, refusal);
            return;
        }
        if (claim === undefined) {
            this.run(message, link);
            return;
        }
        this.openClaimed(message, link, claimUse(message, claim));
    }

    /** Refuses an `open` message that arrives after the agent has closed. */
    refuseClosed(message: OpenMessage, link: Link): void {
        this.refuse(message, link, closedFailure(this.mayHaveRun(message)));
    }

    private check(message: OpenMessage): Failure | undefined {
        const chain = checkChain(message, this.context.target);
        if (this.mayHaveRun(message)) {
            return chain === undefined ? undefined : failure(requestCodes.outcomeUnknown, chain.message);
        }
        return this.context.load.leaving ? failure(requestCodes.stopping, "the target is leaving") : chain;
    }

    /** Whether the request may have run here before. It is then not new work, and must not be reported as "not run". */
    private mayHaveRun({ claim }: OpenMessage): boolean {
        return claim !== undefined && this.claims.knows(claim);
    }

    private checkHeld(message: OpenMessage): Promise<Failure | undefined> | undefined {
        if (this.mayHaveRun(message)) {
            return undefined;
        }
        const { model, version, adapter, stages } = message;
        const { first = 0, last = 0 } = stages[0] ?? {};
        const needed = { model, version, adapter, first, last };
        return this.context.held.holds(needed) ? undefined : this.context.held.check(needed);
    }

    private openClaimed(message: OpenMessage, link: Link, use: ClaimUse): void {
        // An older attempt of the same request stops first, so that this one continues from its recorded answer.
        this.context.table.supersede(message.request, message.epoch);
        const admitted = this.claims.admit(use);
        if (admitted.isErr) {
            this.refuse(message, link, admitted.error);
            return;
        }
        const { action, record } = admitted.value;
        if (!startsWith(record.items.map(item => item.id), message.produced)) {
            this.refuse(message, link, failure(requestCodes.outcomeUnknown, "the recorded answer is a different one"));
            return;
        }
        if (action === "follow") {
            this.follow(message, link, record);
            return;
        }
        this.runClaimed(message, link, record);
    }

    private run(message: OpenMessage, link: Link): void {
        const stream = this.createStream(message, link, {
            lost: () => attempt.cancel(),
            drained: () => attempt.resume(),
            closed: () => this.context.table.end(message.request, message.epoch),
        });
        const attempt: HeadAttempt = new HeadAttempt(this.context, {
            message,
            produced: message.produced,
            sink: stream,
            entry: stream,
            claimed: false,
            isContinuation: false,
        });
        this.context.table.begin(message.request, attempt);
        attempt.offer();
    }

    private runClaimed(message: OpenMessage, link: Link, record: AnswerRecord): void {
        const following: { stop?: () => void; } = {};
        let parts = 2;
        const partEnded = (): void => {
            parts--;
            if (parts === 0) {
                this.context.table.end(message.request, message.epoch);
            }
        };
        const stream = this.createStream(message, link, {
            lost: () => attempt.cancel(),
            drained: () => undefined,
            closed: () => {
                following.stop?.();
                partEnded();
            },
        });
        const attempt: HeadAttempt = new HeadAttempt(this.context, {
            message,
            produced: record.items.map(item => item.id),
            sink: new RecordSink(this.claims, record, stream),
            entry: stream,
            claimed: true,
            isContinuation: record.resumed,
            ended: ended => {
                this.recordCancellation(ended, record);
                partEnded();
            },
        });
        this.context.table.begin(message.request, attempt);
        following.stop = record.follow(toFollower(stream), message.produced.length);
        attempt.offer();
    }

    /** Marks the claim of a cancelled run as interrupted, because a cancellation does not notify the sink. */
    private recordCancellation(attempt: HeadAttempt, record: AnswerRecord): void {
        if (attempt.state === "cancelled") {
            this.claims.interrupted(record, failure(requestCodes.inProgress, "the request was cancelled"));
        }
    }

    private follow(message: OpenMessage, link: Link, record: AnswerRecord): void {
        const following: { stop?: () => void; } = {};
        const stream: EntryStream = this.createStream(message, link, {
            lost: () => stream.drop(),
            drained: () => undefined,
            closed: () => {
                following.stop?.();
                this.context.table.end(message.request, message.epoch);
            },
        });
        this.context.table.begin(message.request, new DuplicateAttempt(message.epoch, stream));
        following.stop = record.follow(toFollower(stream), message.produced.length);
    }

    private createStream(
        message: OpenMessage,
        link: Link,
        handlers: StreamHandlers,
    ): EntryStream {
        const { request, epoch, produced, credit } = message;
        const position = produced.length;
        this.context.load.begin(link);
        const unwatch = this.context.links.watch(link, handlers.lost);
        return new EntryStream({
            link,
            request,
            epoch,
            position,
            upTo: position + credit,
            load: () => this.context.load.report(),
            drained: handlers.drained,
            closed: () => {
                unwatch();
                this.context.load.end(link);
                handlers.closed();
            },
        });
    }

    /** Refuses an attempt and records the refusal, so that a late copy of its message does not run either. */
    private refuse(message: OpenMessage, link: Link, reason: Failure): void {
        const { request, epoch, claim } = message;
        this.context.table.end(request, epoch);
        if (claim !== undefined && reason.code.execution === "not run") {
            this.claims.refuse(claimUse(message, claim), reason);
        }
        if (reason.code.execution === "not run") {
            const { record, target } = this.context;
            record({ event: "work.refused", request, epoch, target, code: reason.code.number });
        }
        this.fail(message, link, reason);
    }

    private fail(message: OpenMessage, link: Link, reason: Failure): void {
        const { request, epoch } = message;
        const { target, load } = this.context;
        link.send({ type: "failed", request, epoch, failure: toWire(reason), target, load: load.report() });
    }
}

function claimUse({ request, model, organisation }: OpenMessage, claim: string): ClaimUse {
    return { claim, request, route: model, organisation };
}

function startsWith(list: readonly number[], beginning: readonly number[]): boolean {
    return beginning.length <= list.length && beginning.every((value, index) => value === list[index]);
}

/** Checks that the chain starts at this target, covers every layer once and in order, and contains no target twice. */
function checkChain({ stages }: OpenMessage, target: string): Failure | undefined {
    if (stages[0]?.target !== target) {
        return failure(requestCodes.wrongTarget, `the head is ${stages[0]?.target ?? "missing"}, not ${target}`);
    }
    if (new Set(stages.map(stage => stage.target)).size !== stages.length) {
        return failure(requestCodes.malformed, "the chain contains a target twice");
    }
    return coversInOrder(stages) ? undefined : failure(requestCodes.malformed, "the chain omits or repeats a layer");
}

function coversInOrder(stages: readonly Stage[]): boolean {
    let next = 0;
    for (const { first, last } of stages) {
        if (first !== next || last < first) {
            return false;
        }
        next = last + 1;
    }
    return true;
}
