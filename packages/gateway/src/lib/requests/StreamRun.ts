import { type Timer } from "@waxwingspar/utils";
import { type ChainLoad } from "../chains/ChainRouter.js";
import { type ChainService } from "../chains/ChainService.js";
import { mayResume } from "../configuration/Configuration.js";
import { type CrashRefusal } from "../crashes/Retrial.js";
import { type ExchangeFailure, type ReplyMessage } from "../upstream/Exchange.js";
import { isDelimited } from "../upstream/isDelimited.js";
import { type AttemptEnd, AttemptLimits } from "./AttemptLimits.js";
import { type CallerExchange, unwritableHead } from "./CallerExchange.js";
import { ChainAttempt, type ChainAttemptListener } from "./ChainAttempt.js";
import { chainCandidates } from "./chainCandidates.js";
import { ChainChoice } from "./ChainChoice.js";
import { CrashCheck } from "./CrashCheck.js";
import { DeliveredEvents } from "./DeliveredEvents.js";
import { joinEvents, type StreamEvent } from "./EventSplitter.js";
import { judgeReply } from "./judgeReply.js";
import { type RequestContext } from "./RequestContext.js";
import { ResumeWait } from "./ResumeWait.js";
import { SendGate } from "./SendGate.js";
import { sendPriority } from "./sendPriority.js";
import { noSlotReason, type SlotCandidate, SlotUse } from "./SlotUse.js";
import { type EndInitiator, StreamLog } from "./StreamLog.js";
import { StreamRefusal } from "./StreamRefusal.js";
import { StreamStage } from "./StreamStage.js";

/** Bytes without end, or events whose ids show that some are missing. */
type RunFault = "flood" | "contradiction";

/**
 * Runs one streamed request over a chain of targets. If the route allows it, an interrupted stream is resumed over
 * another chain after the last event that the caller received, so the caller sees one stream.
 *
 * A run whose chain is only suspected is kept until a second run brings an event that the caller lacks. If the second
 * send is refused, nothing is lost, and a target that was only slow continues.
 */
export class StreamRun implements ChainAttemptListener {
    /** Runs that may still bring events: one, or a suspected one and its intended replacement. */
    private readonly attempts = new Set<ChainAttempt>();
    private readonly limits: AttemptLimits;
    private readonly gate: SendGate;
    private readonly refusal: StreamRefusal;
    private readonly choice: ChainChoice;
    private readonly crashCheck: CrashCheck;
    private readonly delivered: DeliveredEvents;
    private readonly slots: SlotUse<ChainLoad>;
    private readonly log: StreamLog;
    private readonly resumeWait: ResumeWait;
    private readonly stage: StreamStage;
    private deadlineTimer: Timer | undefined;

    constructor(
        private readonly context: RequestContext,
        private readonly caller: CallerExchange,
        private readonly service: ChainService,
    ) {
        this.delivered = new DeliveredEvents(context.clock, caller.request.lastEventId);
        this.resumeWait = new ResumeWait({ clock: context.clock, delivered: this.delivered });
        this.limits = new AttemptLimits({ budget: context.budget, maxAttempts: caller.route.maxAttempts });
        const { delivered, limits, resumeWait } = this;
        this.stage = new StreamStage({ caller, delivered, limits, resumeWait });
        this.gate = new SendGate({ context, caller, precedence: () => this.stage.precedence });
        this.slots = new SlotUse({ context, caller, list: () => chainCandidates(this.choice, service) });
        const { gate, slots } = this;
        this.refusal = new StreamRefusal({ context, gate, service, caller, slots, delivered });
        this.log = new StreamLog({ context, caller, service, delivered: this.delivered });
        this.choice = new ChainChoice({
            service,
            limits: this.limits,
            mayPass: headId => {
                const head = service.target(headId);
                return head === undefined || this.gate.mayPass(head);
            },
            running: () => [...this.attempts].map(({ load }) => load.chain.key),
            prompt: caller.request.tokens?.prompt,
        });
        this.crashCheck = new CrashCheck({
            context,
            caller,
            canSend: () => this.limits.mayBegin(this.stage.precedence) && this.choice.chooseNext() !== undefined,
        });
    }

    start(): void {
        this.context.budget.request();
        const { clock, guard } = this.context;
        this.caller.onDisconnect(guard.wrap("disconnect", () => this.finish()));
        this.caller.onDrain(guard.wrap("drain", () => this.attempts.forEach(attempt => attempt.resume())));
        this.deadlineTimer = clock.schedule(() => this.giveUp("time is up"), Math.max(0, this.caller.timeLeft));
        this.send();
    }

    leaveChain(load: ChainLoad, reason: string): void {
        [...this.attempts].filter(running => running.load === load).forEach(attempt => this.suspect(attempt, reason));
    }

    onHead(attempt: ChainAttempt, response: ReplyMessage): void {
        const status = response.statusCode ?? 0;
        const head = attempt.readHead(response);
        const verdict = judgeReply(status, head, this.caller.request.id);
        if (verdict.kind === "refusal") {
            if (head.rest.kind !== "asked") {
                this.service.refused(attempt.load, status, head.faultyAddress);
            }
            this.attemptEnded(attempt, "neverExecuted", verdict.reason);
        }
        else if (verdict.kind === "unusable") {
            this.attemptEnded(attempt, "unknown", verdict.reason);
        }
        else if (!attempt.isSuccess) {
            this.receiveFailedReply(attempt, status);
        }
    }

    onData(attempt: ChainAttempt, chunk: Buffer): void {
        if (attempt.isPlain) {
            attempt.forward(chunk);
            return;
        }
        const { events, contradiction, isDeliveredInDoubt } = attempt.take(chunk);
        if (attempt.hasLasted) {
            this.crashCheck.noteSuccess();
        }
        this.onEvents(attempt, events);
        if (contradiction !== undefined && this.attempts.has(attempt)) {
            this.endFaulty(attempt, "contradiction", contradiction, isDeliveredInDoubt);
        }
    }

    onEvents(attempt: ChainAttempt, events: readonly StreamEvent[], isInDoubt = false): void {
        if (events.length > 0 && this.writeHeadOnce(attempt)) {
            this.keepOnly(attempt);
            this.delivered.add(events, isInDoubt);
            attempt.forward(joinEvents(events));
        }
    }

    onEnd(attempt: ChainAttempt): void {
        const isWhole = attempt.response !== undefined && isDelimited(attempt.response);
        if (attempt.hasPartialEvent || (!isWhole && attempt.firstEventAt === undefined && !attempt.isPlain)) {
            this.onFailure(attempt, { neverSent: false, reason: "ended within an event or before the first" });
            return;
        }
        const { events, contradiction } = attempt.endSequence();
        if (contradiction !== undefined) {
            return this.endFaulty(attempt, "contradiction", contradiction);
        }
        this.crashCheck.noteEnd(attempt.send, attempt.response?.statusCode ?? 0, isWhole);
        if (!this.writeHeadOnce(attempt)) {
            return;
        }
        this.onEvents(attempt, events);
        attempt.forward(attempt.takeRest());
        this.finish();
        this.caller.end(`served ${this.delivered.count} events`);
    }

    onFailure(attempt: ChainAttempt, { neverSent, isWithdrawn, isFlood = false, reason }: ExchangeFailure): void {
        if (isFlood) {
            this.endFaulty(attempt, "flood", reason);
            return;
        }
        if (isWithdrawn !== true) {
            this.service.streamFailed(attempt.load, neverSent);
        }
        this.crashCheck.noteFailure(attempt.send, neverSent);
        this.attemptEnded(attempt, neverSent ? "neverSent" : "unknown", reason, !neverSent);
    }

    onLateEvent(attempt: ChainAttempt, reason: string): void {
        if (attempt.isSuspected && this.attempts.size > 1) {
            this.attemptEnded(attempt, "unknown", reason, true, "gateway");
        }
        else if (this.delivered.hasBegun || this.choice.chooseAlternativeWithRoom() !== undefined) {
            this.suspect(attempt, reason);
        }
    }

    /**
     * Ends a run that has brought what belongs to no answer. Its chain is avoided for a while, and other runs that are
     * suspected are not waited for.
     *
     * @param isDeliveredInDoubt - Whether the caller may have received something wrong, so that no run can continue.
     */
    private endFaulty(attempt: ChainAttempt, fault: RunFault, reason: string, isDeliveredInDoubt = false): void {
        this.context.observation.metrics.faultyRuns.add({ fault });
        this.service.ranFaulty(attempt.load);
        if (isDeliveredInDoubt) {
            this.log.failed(attempt, reason, "gateway");
            this.giveUp(reason);
            return;
        }
        this.attemptEnded(attempt, "unknown", reason, true, "gateway");
        [...this.attempts].filter(other => other.isSuspected).forEach(other => this.suspect(other, reason));
    }

    /** Sends the request over another chain as well, if this is allowed and one is available. */
    private suspect(attempt: ChainAttempt, reason: string): void {
        if (this.choice.chooseAlternative() === undefined && this.delivered.hasBegun) {
            this.choice.reset();
        }
        if (this.choice.chooseAlternative() === undefined) {
            return;
        }
        if (attempt.neverSent) {
            attempt.close();
            this.attemptEnded(attempt, "neverSent", reason, false, "gateway");
        }
        else if (this.mayReplace(attempt)) {
            attempt.isSuspected = true;
            this.log.suspected(attempt, reason);
            this.send();
        }
    }

    /** A request that is suspected of crashing its targets runs on only one target at a time. */
    private mayReplace(attempt: ChainAttempt): boolean {
        const isAlone = this.attempts.size === 1 && !attempt.isPlain && !attempt.isPaused;
        const { count, lastId, isInDoubt } = this.delivered;
        const canContinue = (count === 0 || lastId !== undefined) && !isInDoubt;
        return isAlone && canContinue && this.mayRetry("unknown") && this.limits.mayBegin(this.stage.precedence)
            && this.crashCheck.isUnsuspected;
    }

    private send(): void {
        if (!this.gate.isHolding && !this.slots.isWaiting) {
            this.crashCheck.checkBeforeSend(() => this.sendNow(), refusal => this.refuseSuspect(refusal));
        }
    }

    /** Sends the request. If it cannot be sent and no other run is in flight, it waits or is given up. */
    private sendNow(): void {
        this.slots.cancel();
        if (this.choice.chooseNext() === undefined) {
            this.waitOrGiveUp(this.refusal.reason);
            return;
        }
        if (!this.limits.mayBegin(this.stage.precedence)) {
            this.giveUpAlone("retry budget is used up");
            return;
        }
        const { attempts: { size: runs }, delivered: { count }, stage } = this;
        const hold = { precedence: stage.isResumed ? "running" : "waiting", maxHold: stage.maxHold(runs) } as const;
        this.slots.take(hold, candidate => {
            const hasContinued = () => this.attempts.size > 0 && this.delivered.count > count;
            this.gate.pass(candidate.target, () => this.sendOver(candidate, hasContinued()), () => this.sendNow());
        }, () => this.noSlotGranted(runs > 0));
    }

    /** @param wasRunning - Whether a run was in flight when the slot was requested. */
    private noSlotGranted(wasRunning: boolean): void {
        this.crashCheck.noteUnsent();
        if (wasRunning && this.attempts.size === 0) {
            // That run has ended meanwhile, so that the send may now be held.
            this.send();
            return;
        }
        this.waitOrGiveUp(noSlotReason);
    }

    /** @param hasContinued - Whether a suspected run has brought an event since, so that no other one is needed. */
    private sendOver({ choice: load, target }: SlotCandidate<ChainLoad>, hasContinued: boolean): void {
        const { context, caller, service, stage: { precedence }, delivered } = this;
        if (hasContinued || !this.limits.begin(target.id, precedence)) {
            this.slots.cancel();
            this.giveUpAlone("retry budget is used up");
            return;
        }
        const priority = sendPriority({ caller, precedence, hasBegun: delivered.hasBegun, isOn: context.isOn });
        const maySend = () => this.crashCheck.maySend;
        const route = { context, caller, service, load, target, releaseSlot: this.slots.handOver() };
        this.attempts.add(new ChainAttempt({ ...route, delivered, priority, maySend, listener: this }));
    }

    /** Handles a reply with an error status: retries the request if allowed, otherwise forwards the reply. */
    private receiveFailedReply(attempt: ChainAttempt, status: number): void {
        if (this.caller.headSent || this.attempts.size > 1 || this.mayRetry("unknown")) {
            this.attemptEnded(attempt, "unknown", `target's own status ${status}`);
            return;
        }
        if (this.writeHeadOnce(attempt)) {
            attempt.isPlain = true;
        }
    }

    /** @returns Whether the answer has a head. A run whose head cannot be written has failed. */
    private writeHeadOnce(attempt: ChainAttempt): boolean {
        if (attempt.response !== undefined && this.caller.writeHead(attempt.response, attempt.isSuccess)) {
            return true;
        }
        this.attemptEnded(attempt, "unknown", unwritableHead);
        return false;
    }

    /** Cancels all other runs once one has brought new events. */
    private keepOnly(kept: ChainAttempt): void {
        for (const other of this.attempts) {
            if (other !== kept) {
                this.log.notNeeded(other);
                this.limits.end(other.target.id, other.neverSent ? "neverSent" : "unknown");
                this.remove(other);
            }
        }
    }

    /**
     * Continues after the end of an attempt with the other run or a retry, or gives up.
     *
     * @param mayReuse - Whether its chain may be used again if no other chain is available.
     */
    private attemptEnded(
        attempt: ChainAttempt,
        end: AttemptEnd,
        reason: string,
        mayReuse = false,
        endedBy: EndInitiator = "target",
    ): void {
        this.remove(attempt);
        this.choice.noteFailed(attempt.load.chain.key, mayReuse);
        this.log.failed(attempt, reason, endedBy);
        this.limits.end(attempt.target.id, end);
        if (attempt.isPlain) {
            this.finish();
            this.caller.breakOff(reason);
        }
        else if (this.attempts.size > 0) {
            return;
        }
        else if (this.mayRetry(end)) {
            this.send();
        }
        else {
            this.giveUp(reason);
        }
    }

    private mayRetry(end: AttemptEnd): boolean {
        const isAllowed = end !== "unknown" || mayResume(this.caller.route);
        return isAllowed && (this.limits.hasAttemptLeft || this.delivered.hasBegun) && this.caller.timeLeft > 0
            && !this.delivered.isInDoubt;
    }

    /**
     * Waits for a chain if the stream may have been executed, for as long as its caller waits. A stream that was never
     * executed is refused immediately. Does neither while a run is in flight.
     */
    private waitOrGiveUp(reason: string): void {
        if (this.attempts.size > 0) {
            return;
        }
        const hasRun = this.caller.headSent || this.limits.mayHaveRun;
        const mayWait = hasRun && mayResume(this.caller.route) && this.resumeWait.timeLeft > 0;
        if (!mayWait) {
            this.giveUp(reason);
            return;
        }
        this.choice.reset();
        this.resumeWait.start(() => this.send());
    }

    /** Ends a request that is not sent again because targets crashed while running it. */
    private refuseSuspect({ code, reason, retryAfter, isBinding }: CrashRefusal): void {
        if (this.limits.mayHaveRun || this.caller.headSent) {
            this.giveUp(reason);
            return;
        }
        this.finish();
        this.caller.refuse(code, reason, retryAfter, isBinding);
    }

    /** Gives up unless a run is in flight. */
    private giveUpAlone(reason: string): void {
        if (this.attempts.size === 0) {
            this.giveUp(reason);
        }
    }

    /** Ends the request with what is known of its outcome. */
    giveUp(reason: string): void {
        const mayRun = this.limits.mayHaveRun || [...this.attempts].some(({ neverSent }) => !neverSent);
        const isRunning = this.attempts.size > 0;
        this.finish();
        this.refusal.endUnserved(reason, { mayRun, isRunning });
    }

    private finish(): void {
        this.deadlineTimer?.cancel();
        this.resumeWait.cancel();
        this.slots.cancel();
        this.attempts.forEach(attempt => this.remove(attempt));
        this.crashCheck.end();
    }

    private remove(attempt: ChainAttempt): void {
        attempt.close();
        this.attempts.delete(attempt);
        if (this.attempts.size === 0) {
            this.crashCheck.end();
        }
    }
}
