import { requestCodes, type Timer } from "@waxwingspar/utils";
import { type CrashRefusal } from "../crashes/Retrial.js";
import { type Target } from "../directory/Target.js";
import { type ExchangeVerdict, type ServicePicker } from "../services/ServicePicker.js";
import { type ExchangeFailure, type ReplyMessage } from "../upstream/Exchange.js";
import { isDelimited } from "../upstream/isDelimited.js";
import { type AttemptEnd, AttemptLimits } from "./AttemptLimits.js";
import { type CallerExchange, unwritableHead } from "./CallerExchange.js";
import { CrashCheck } from "./CrashCheck.js";
import { judgeReply } from "./judgeReply.js";
import { isPastDeadline, noteGivenUp } from "./noteGivenUp.js";
import { openExchange } from "./openExchange.js";
import { type PlainAttempt } from "./PlainAttempt.js";
import { type RequestContext } from "./RequestContext.js";
import { type Closure, SendGate } from "./SendGate.js";
import { sendPriority } from "./sendPriority.js";
import { newRequestHold, noSlotReason, refuseWithoutSlot, type SlotCandidate, SlotUse } from "./SlotUse.js";

/** Maximum bytes of a reply that are buffered. A longer reply is forwarded as it arrives and cannot be retried. */
const maxBufferedReply = 262_144;
/** Share of the latency target after which an idempotent request without a reply is hedged to a second target. */
const hedgeLatencyShare = 0.8;
/** `Retry-After` in milliseconds when targets refuse. */
const retryAfter = 100;
const firstServerError = 500;

/**
 * Runs one request on a service without chains: sends it, retries it if its kind allows, and answers with one of three
 * outcomes: the target's reply, a refusal which guarantees that the request was not executed, or an unknown outcome.
 */
export class PlainRun {
    private readonly attempts = new Set<PlainAttempt>();
    private readonly tried = new Set<string>();
    private readonly limits: AttemptLimits;
    private readonly gate: SendGate;
    private readonly crashCheck: CrashCheck;
    private readonly slots: SlotUse<Target>;
    /** A complete reply with a server error, delivered if no attempt brings a better one. */
    private failedReply: PlainAttempt | undefined;
    private deadlineTimer: Timer | undefined;
    private hedgeTimer: Timer | undefined;

    constructor(
        private readonly context: RequestContext,
        private readonly caller: CallerExchange,
        private readonly picker: ServicePicker,
    ) {
        this.limits = new AttemptLimits({ budget: context.budget, maxAttempts: caller.route.maxAttempts });
        this.gate = new SendGate({ context, caller, precedence: () => "waiting" });
        this.slots = new SlotUse({ context, caller, list: () => this.listCandidates() });
        this.crashCheck = new CrashCheck({
            context,
            caller,
            canSend: () => this.limits.mayBegin("waiting") && this.chooseTarget() !== undefined,
        });
    }

    start(): void {
        const { clock, guard } = this.context;
        this.context.budget.request();
        this.caller.onDisconnect(guard.wrap("disconnect", () => this.stop()));
        this.deadlineTimer = clock.schedule(() => this.giveUp("time is up"), Math.max(0, this.caller.timeLeft));
        if (this.isIdempotent && this.context.isOn("hedged-sends")) {
            const delay = this.caller.route.latencyTarget * hedgeLatencyShare;
            this.hedgeTimer = clock.schedule(() => this.hedge(), delay);
        }
        this.send();
    }

    private get isIdempotent(): boolean {
        return this.caller.route.kind === "idempotent";
    }

    private send(): void {
        if (!this.gate.isHolding && !this.slots.isWaiting) {
            this.crashCheck.checkBeforeSend(() => this.sendNow(), refusal => this.refuseSuspect(refusal));
        }
    }

    private chooseTarget(excluded: ReadonlySet<string> = this.tried): Target | undefined {
        return this.picker.choose(excluded, target => this.gate.mayPass(target));
    }

    /** The targets that the request may be sent to now, best first. */
    private *listCandidates(): Generator<SlotCandidate<Target>> {
        const excluded = new Set(this.tried);
        for (;;) {
            const target = this.chooseTarget(excluded);
            if (target === undefined) {
                return;
            }
            yield { choice: target, target, room: target.slots };
            excluded.add(target.id);
        }
    }

    private sendNow(): void {
        this.slots.cancel();
        if (this.chooseTarget() === undefined) {
            this.giveUpAlone(this.closure?.reason ?? "no target is left");
            return;
        }
        const { size: runs } = this.attempts;
        // A hedge is made only if a slot is free at once.
        const maxHold = runs > 0 ? 0 : newRequestHold(this.caller);
        this.slots.take(
            { precedence: "waiting", maxHold },
            ({ target }) => this.gate.pass(target, () => this.sendTo(target), () => this.sendNow()),
            () => this.noSlotGranted(runs > 0),
        );
    }

    /** @param wasRunning - Whether an attempt was in flight when the slot was requested. */
    private noSlotGranted(wasRunning: boolean): void {
        this.crashCheck.noteUnsent();
        if (wasRunning && this.attempts.size === 0) {
            // That attempt has ended meanwhile, so that the send may now be held.
            this.send();
            return;
        }
        this.giveUpAlone(noSlotReason);
    }

    private giveUpAlone(reason: string): void {
        if (this.attempts.size === 0) {
            this.giveUp(reason);
        }
    }

    /** Why no target takes a request now by what it said; undefined if that does not prevent a send. */
    private get closure(): Closure | undefined {
        return this.gate.findClosure(this.picker.list());
    }

    private sendTo(target: Target): void {
        // The first attempt's reply may have begun while a permit for a hedge was on its way.
        if (this.caller.headSent) {
            this.slots.cancel();
            return;
        }
        if (!this.limits.begin(target.id, "waiting")) {
            this.slots.cancel();
            this.giveUpAlone("retry budget is used up");
            return;
        }
        this.tried.add(target.id);
        this.picker.sent(target);
        const { context, caller } = this;
        const attempt: PlainAttempt = {
            target,
            startedAt: context.clock.now(),
            chunks: [],
            bytes: 0,
            releaseSlot: this.slots.handOver(),
            exchange: openExchange({
                context,
                caller,
                target,
                lastEventId: caller.request.lastEventId,
                priority: sendPriority({ caller, precedence: "waiting", hasBegun: false, isOn: context.isOn }),
                maySend: () => this.crashCheck.maySend,
                listener: {
                    onHead: response => this.receiveHead(attempt, response),
                    onData: chunk => this.receiveData(attempt, chunk),
                    onEnd: () => this.receiveEnd(attempt),
                    onFailure: failure => this.exchangeFailed(attempt, failure),
                },
            }),
        };
        this.attempts.add(attempt);
    }

    private receiveHead(attempt: PlainAttempt, response: ReplyMessage): void {
        attempt.response = response;
        attempt.repliedAt = this.context.clock.now();
        const head = this.context.wire.readReplyHead(response.statusCode ?? 0, response.headers);
        this.context.replies.record({
            target: attempt.target,
            status: response.statusCode ?? 0,
            head,
            requestId: this.caller.request.id,
            sentAt: attempt.startedAt,
        });
        const verdict = judgeReply(response.statusCode ?? 0, head, this.caller.request.id);
        if (verdict.kind === "refusal") {
            this.abandon(attempt, "refused", "neverExecuted", verdict.reason);
        }
        else if (verdict.kind === "unusable") {
            this.abandon(attempt, "failed", "unknown", verdict.reason);
        }
    }

    private receiveData(attempt: PlainAttempt, chunk: Buffer): void {
        if (attempt.bytes > maxBufferedReply) {
            this.forward(attempt, chunk);
            return;
        }
        attempt.chunks.push(chunk);
        attempt.bytes += chunk.length;
        if (attempt.bytes > maxBufferedReply) {
            if (attempt.response === undefined || !this.caller.writeHead(attempt.response)) {
                this.abandon(attempt, "failed", "unknown", unwritableHead);
                return;
            }
            this.stopOthers(attempt);
            this.forward(attempt, Buffer.concat(attempt.chunks));
            this.caller.onDrain(this.context.guard.wrap("drain", () => attempt.exchange.resume()));
        }
    }

    private forward(attempt: PlainAttempt, chunk: Buffer): void {
        if (!this.caller.write(chunk)) {
            attempt.exchange.pause();
        }
    }

    private receiveEnd(attempt: PlainAttempt): void {
        const { response, target, startedAt, repliedAt } = attempt;
        const status = response?.statusCode ?? 0;
        const isFailure = status >= firstServerError;
        const isWhole = response !== undefined && isDelimited(response);
        this.crashCheck.noteEnd({ target, startedAt, repliedAt }, status, isWhole);
        this.remove(attempt, isFailure ? "failed" : "served");
        if (!isFailure || this.caller.headSent) {
            this.deliver(attempt);
            return;
        }
        this.failedReply = attempt;
        this.logFailure(attempt, `target's own status ${status}`);
        this.continueAfter(attempt, "unknown");
    }

    private exchangeFailed(attempt: PlainAttempt, { neverSent, isWithdrawn, isFlood, reason }: ExchangeFailure): void {
        this.remove(attempt, isWithdrawn === true ? "withdrawn" : "failed");
        this.logFailure(attempt, reason);
        if (isFlood !== true) {
            const { target, startedAt, repliedAt } = attempt;
            this.crashCheck.noteFailure({ target, startedAt, repliedAt }, neverSent);
        }
        if (this.caller.headSent) {
            this.finish();
            this.caller.breakOff(reason);
            return;
        }
        this.continueAfter(attempt, neverSent ? "neverSent" : "unknown");
    }

    /** Cancels an attempt whose reply cannot be used. */
    private abandon(attempt: PlainAttempt, verdict: ExchangeVerdict, end: AttemptEnd, reason: string): void {
        attempt.exchange.cancel();
        this.remove(attempt, verdict);
        this.logFailure(attempt, reason);
        this.continueAfter(attempt, end);
    }

    /** Retries or gives up after an attempt without a usable reply. */
    private continueAfter({ target }: PlainAttempt, end: AttemptEnd): void {
        this.limits.end(target.id, end);
        if (this.attempts.size > 0) {
            return;
        }
        const mayRetry = this.isIdempotent && this.context.isOn("second-attempts");
        const isAllowed = end !== "unknown" || mayRetry;
        if (isAllowed && this.limits.hasAttemptLeft && this.caller.timeLeft > 0) {
            this.send();
            return;
        }
        this.giveUp("no retry is allowed");
    }

    /**
     * Hedges a slow idempotent request to a second target. A request that is suspected of crashing its targets runs on
     * only one target at a time.
     */
    private hedge(): void {
        if (
            this.crashCheck.isUnsuspected && this.attempts.size === 1 && this.limits.hasAttemptLeft
            && !this.caller.headSent
        ) {
            this.send();
        }
    }

    /** Delivers the whole reply of an attempt that has ended. */
    private deliver(attempt: PlainAttempt): void {
        const rest = this.caller.headSent ? undefined : Buffer.concat(attempt.chunks);
        if (attempt.response !== undefined && this.caller.writeHead(attempt.response)) {
            this.finish();
            this.caller.end("served", rest);
            return;
        }
        this.failedReply = undefined;
        this.logFailure(attempt, unwritableHead);
        this.continueAfter(attempt, "unknown");
    }

    /** Ends a request that is not sent again because targets crashed while running it. */
    private refuseSuspect({ code, reason, retryAfter, isBinding }: CrashRefusal): void {
        if (this.failedReply !== undefined || this.limits.mayHaveRun) {
            this.giveUp(reason);
            return;
        }
        this.finish();
        this.caller.refuse(code, reason, retryAfter, isBinding);
    }

    /** Ends the request with what is known of its outcome. */
    giveUp(reason: string): void {
        if (this.failedReply !== undefined && this.attempts.size === 0) {
            this.deliver(this.failedReply);
            return;
        }
        const mayRun = this.limits.mayHaveRun || [...this.attempts].some(({ exchange }) => !exchange.neverSent);
        this.finish();
        if (mayRun) {
            const isLate = isPastDeadline(this.caller);
            noteGivenUp(this.context, this.caller, isLate ? "deadline" : "target", { reason });
            this.caller.refuse(isLate ? requestCodes.deadlineExceeded : requestCodes.outcomeUnknown, reason);
            return;
        }
        if (this.slots.refusal !== undefined) {
            refuseWithoutSlot(this.caller, this.slots.refusal);
            return;
        }
        const { closure } = this;
        if (closure === undefined) {
            this.caller.refuse(requestCodes.noCapacity, reason, retryAfter);
            return;
        }
        this.caller.refuse(closure.code, reason, closure.wait, closure.isBinding);
    }

    private stopOthers(kept: PlainAttempt): void {
        for (const attempt of this.attempts) {
            if (attempt !== kept) {
                attempt.exchange.cancel();
                this.remove(attempt, "served");
            }
        }
    }

    private stop(): void {
        this.finish();
    }

    private finish(): void {
        this.deadlineTimer?.cancel();
        this.hedgeTimer?.cancel();
        this.crashCheck.end();
        this.slots.cancel();
        for (const attempt of this.attempts) {
            attempt.exchange.cancel();
            this.remove(attempt, "failed");
        }
    }

    private remove(attempt: PlainAttempt, verdict: ExchangeVerdict): void {
        if (this.attempts.delete(attempt)) {
            attempt.releaseSlot();
            this.picker.ended(attempt.target, verdict, this.context.clock.now() - attempt.startedAt);
            this.context.observation.metrics.sends.add({ result: verdict });
        }
    }

    private logFailure(attempt: PlainAttempt, reason: string): void {
        this.context.observation.logs.requests.warn({
            request: this.caller.request.id,
            digest: this.caller.digest,
            target: attempt.target.id,
            reason,
            after: Math.round(this.context.clock.now() - attempt.startedAt),
            timeLeft: Math.round(this.caller.timeLeft),
        }, "attempt failed");
    }
}
