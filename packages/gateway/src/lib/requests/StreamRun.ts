import { requestCodes, type Timer } from "@waxwingspar/utils";
import { type ChainLoad } from "../chains/ChainRouter.js";
import { type ChainService } from "../chains/ChainService.js";
import { type HoldBack, settleTime } from "../crashes/CrashGuard.js";
import { type ExchangeFailure, type ReplyMessage } from "../upstream/Exchange.js";
import { type AttemptEnd, AttemptLimits } from "./AttemptLimits.js";
import { type CallerExchange } from "./CallerExchange.js";
import { ChainAttempt, type ChainAttemptListener } from "./ChainAttempt.js";
import { ChainChoice } from "./ChainChoice.js";
import { CrashCheck } from "./CrashCheck.js";
import { type StreamEvent } from "./EventSplitter.js";
import { isPastDeadline, noteGivenUp } from "./noteGivenUp.js";
import { type Precedence } from "./precedence.js";
import { type RequestContext } from "./RequestContext.js";
import { resumedPriority } from "./resumedPriority.js";

/** Milliseconds after which a caller may come back when chains have no room: some requests end in that time. */
const fullRetryAfter = 400;
/** Milliseconds after which a caller may come back when no chain is whole: a lost range is loaded anew in 1.2 to 1.6 s. */
const brokenRetryAfter = 1_500;
/** Milliseconds between two looks for a chain on which a stream that broke off can go on. */
const resumeInterval = 200;
/**
 * Milliseconds after its last event for which a stream waits for such a chain: callers abandon one that is silent for two
 * seconds. A lost range has a chain round it, or is loaded anew, within 0.4 to 1.6 s.
 */
const resumePatience = 1_800;
const noChains: ReadonlySet<string> = new Set();
const firstSuccess = 200;
const firstRedirect = 300;

/** Whether a target ended a run of a request, or the gateway gave it up. */
type AttemptEnder = "target" | "gateway";

/**
 * Runs one streamed request over a chain of targets. A stream that breaks off goes on over another chain after the last event that
 * the caller has, where its route allows that; the caller sees one stream.
 *
 * A run whose chain is only suspected stays until the one beside it has brought an event that the caller lacks: when the second send is
 * refused, nothing is lost, and a target that was merely slow goes on.
 */
export class StreamRun implements ChainAttemptListener {
    /** Runs that may still bring events: one, or a suspected one and the one that is to replace it. */
    private readonly attempts = new Set<ChainAttempt>();
    private readonly limits: AttemptLimits;
    private readonly choice: ChainChoice;
    private readonly crashCheck: CrashCheck;
    private lastEventAt: number;
    private resumeTimer: Timer | undefined;
    private lastEventId: string | undefined;
    private events = 0;
    private deadlineTimer: Timer | undefined;

    constructor(
        private readonly context: RequestContext,
        private readonly caller: CallerExchange,
        private readonly service: ChainService,
    ) {
        this.lastEventId = caller.request.lastEventId;
        this.lastEventAt = context.clock.now();
        this.limits = new AttemptLimits({ budget: context.budget, maxAttempts: caller.route.maxAttempts });
        this.choice = new ChainChoice({
            service,
            limits: this.limits,
            running: () => [...this.attempts].map(({ load }) => load.chain.key),
        });
        this.crashCheck = new CrashCheck({
            context,
            caller,
            canSend: () => this.limits.mayBegin(this.precedence) && this.choice.next() !== undefined,
        });
    }

    start(): void {
        this.context.budget.request();
        this.caller.onGone(() => this.finish());
        this.caller.onDrain(() => this.attempts.forEach(attempt => attempt.resume()));
        const delay = Math.max(0, this.caller.timeLeft);
        this.deadlineTimer = this.context.clock.schedule(() => this.giveUp("time is up"), delay);
        this.send();
    }

    leaveChain(load: ChainLoad, reason: string): void {
        const attempt = [...this.attempts].find(running => running.load === load);
        if (attempt !== undefined) {
            this.suspect(attempt, reason);
        }
    }

    onHead(attempt: ChainAttempt, response: ReplyMessage): void {
        const status = response.statusCode ?? 0;
        const head = this.context.wire.readReplyHead(status, response.headers);
        if (head.neverExecuted) {
            this.service.refused(attempt.load, status, head.faultyAddress);
            this.attemptEnded(attempt, "neverExecuted", `refused with ${status} at ${head.faultyAddress ?? "head"}`);
        }
        else if (!head.isSigned || (head.requestId !== undefined && head.requestId !== this.caller.request.id)) {
            this.attemptEnded(attempt, "unknown", `reply ${status} is not this request's`);
        }
        else if (status < firstSuccess || status >= firstRedirect) {
            this.receiveFailedReply(attempt, status);
        }
    }

    onData(attempt: ChainAttempt, chunk: Buffer): void {
        if (attempt.isPlain) {
            this.pass(attempt, chunk);
            return;
        }
        const fresh = attempt.take(chunk).filter(event => this.isNew(event));
        const { firstEventAt } = attempt;
        if (firstEventAt !== undefined && this.context.clock.now() - firstEventAt >= settleTime) {
            this.crashCheck.noteWell();
        }
        if (fresh.length === 0) {
            return;
        }
        this.keepOnly(attempt);
        this.writeHeadOnce(attempt);
        this.events += fresh.length;
        this.lastEventAt = this.context.clock.now();
        this.lastEventId = fresh.at(-1)?.id ?? this.lastEventId;
        this.pass(
            attempt,
            fresh.length === 1 && fresh[0] !== undefined
                ? fresh[0].bytes
                : Buffer.concat(fresh.map(({ bytes }) => bytes)),
        );
    }

    onEnd(attempt: ChainAttempt): void {
        if (attempt.hasPartialEvent) {
            this.attemptEnded(attempt, "unknown", "ended within an event");
            return;
        }
        this.writeHeadOnce(attempt);
        this.crashCheck.noteWell();
        this.finish();
        this.caller.end(`served ${this.events} events`);
    }

    onFailure(attempt: ChainAttempt, { neverSent, reason }: ExchangeFailure): void {
        this.service.broke(attempt.load, neverSent);
        if (!neverSent) {
            const { target, startedAt, firstEventAt } = attempt;
            this.crashCheck.noteCut({ target, startedAt, repliedAt: firstEventAt });
        }
        this.attemptEnded(attempt, neverSent ? "neverSent" : "unknown", reason, !neverSent);
    }

    onLateFirstEvent(attempt: ChainAttempt): void {
        if (this.choice.anotherWithRoom() !== undefined) {
            this.suspect(attempt, "no first event");
        }
    }

    /** Sends the request over another chain as well, if that is allowed and one is there. */
    private suspect(attempt: ChainAttempt, reason: string): void {
        if (this.hasBegun) {
            this.choice.forget();
        }
        if (this.choice.another() === undefined) {
            return;
        }
        if (attempt.neverSent) {
            attempt.close();
            this.attemptEnded(attempt, "neverSent", reason, false, "gateway");
        }
        else if (this.mayReplace(attempt)) {
            const { logs } = this.context.observation;
            const { dataCentre } = attempt.load.chain;
            logs.requests.info({ ...this.facts(attempt), chain: dataCentre, reason }, "attempt suspected");
            this.send();
        }
    }

    /** A request that is suspected of crashing its targets runs at one of them at a time. */
    private mayReplace(attempt: ChainAttempt): boolean {
        const isAlone = this.attempts.size === 1 && !attempt.isPlain && !attempt.isPaused;
        const canContinue = this.events === 0 || this.lastEventId !== undefined;
        return isAlone && canContinue && this.mayRepeat("unknown") && this.limits.mayBegin(this.precedence)
            && this.crashCheck.isFree;
    }

    /** Whether the caller has got a part of the answer. */
    private get hasBegun(): boolean {
        return this.events > 0;
    }

    /** A caller that comes back after a broken connection names the last event that it has. */
    private get precedence(): Precedence {
        return this.hasBegun || this.caller.request.lastEventId !== undefined ? "running" : "waiting";
    }

    private get mayResume(): boolean {
        const { route } = this.caller;
        return route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
    }

    private send(): void {
        this.crashCheck.pass(() => this.sendNow(), why => this.holdBack(why));
    }

    /** Sends the request. Without a run that may yet go on, it ends or waits when it cannot be sent. */
    private sendNow(): void {
        const isBeside = this.attempts.size > 0;
        const load = this.choice.next();
        const target = load === undefined ? undefined : this.service.target(load.chain.hops[0]?.targetId ?? "");
        if (load === undefined || target === undefined) {
            if (!isBeside) {
                this.waitOrGiveUp("no chain is left");
            }
            return;
        }
        if (!this.limits.begin(target.id, this.precedence)) {
            if (!isBeside) {
                this.giveUp("retry budget is used up");
            }
            return;
        }
        const { context, caller, service, lastEventId } = this;
        const priority = this.hasBegun
            ? resumedPriority(caller.request.tokens?.prompt ?? 0, context.isOn)
            : undefined;
        this.attempts.add(
            new ChainAttempt({ context, caller, service, load, target, lastEventId, priority, listener: this }),
        );
    }

    /** The target says itself that it failed: repeated where allowed, else passed on. */
    private receiveFailedReply(attempt: ChainAttempt, status: number): void {
        if (this.caller.headSent || this.attempts.size > 1 || this.mayRepeat("unknown")) {
            this.attemptEnded(attempt, "unknown", `target's own status ${status}`);
            return;
        }
        attempt.isPlain = true;
        this.caller.writeHead(status, attempt.response?.rawHeaders ?? []);
    }

    private writeHeadOnce({ response }: ChainAttempt): void {
        if (!this.caller.headSent) {
            this.caller.writeHead(response?.statusCode ?? 0, response?.rawHeaders ?? []);
        }
    }

    /** A new run may begin with events that the caller has. */
    private isNew({ id }: StreamEvent): boolean {
        if (id === undefined || this.lastEventId === undefined) {
            return true;
        }
        const [number, last] = [Number(id), Number(this.lastEventId)];
        return Number.isNaN(number) || Number.isNaN(last) || number > last;
    }

    /** One of two runs goes on, so the other one is not needed. */
    private keepOnly(kept: ChainAttempt): void {
        const { logs } = this.context.observation;
        for (const other of this.attempts) {
            if (other !== kept) {
                const end = other.neverSent ? "neverSent" : "unknown";
                logs.requests.info({ ...this.facts(other), chain: other.load.chain.dataCentre }, "attempt not needed");
                this.remove(other);
                this.limits.end(other.target.id, end);
            }
        }
    }

    private pass(attempt: ChainAttempt, bytes: Buffer): void {
        if (!this.caller.write(bytes)) {
            attempt.pause();
        }
    }

    /**
     * Goes on after the end of an attempt: with the other run, with another send, or not at all.
     *
     * @param mayReuse - Whether its chain may be used again if no other is left.
     */
    private attemptEnded(
        attempt: ChainAttempt,
        end: AttemptEnd,
        reason: string,
        mayReuse = false,
        endedBy: AttemptEnder = "target",
    ): void {
        this.remove(attempt);
        this.choice.noteFailed(attempt.load.chain.key, mayReuse);
        this.noteFailed(attempt, reason, endedBy);
        this.limits.end(attempt.target.id, end);
        if (attempt.isPlain) {
            this.finish();
            this.caller.breakOff(reason);
        }
        else if (this.attempts.size > 0) {
            return;
        }
        else if (this.mayRepeat(end)) {
            this.send();
        }
        else {
            this.giveUp(reason);
        }
    }

    private mayRepeat(end: AttemptEnd): boolean {
        const isAllowed = end !== "unknown" || this.mayResume;
        return isAllowed && (this.limits.hasAttemptLeft || this.hasBegun) && this.caller.timeLeft > 0;
    }

    /** A stream that may have run waits for a chain while its caller does; one that never ran is refused at once. */
    private waitOrGiveUp(reason: string): void {
        const { clock } = this.context;
        const hasRun = this.caller.headSent || this.limits.mayHaveRun;
        const mayWait = hasRun && this.mayResume && clock.now() - this.lastEventAt < resumePatience;
        if (!mayWait) {
            this.giveUp(reason);
            return;
        }
        this.choice.forget();
        this.resumeTimer = clock.schedule(() => this.send(), resumeInterval);
    }

    /** Targets crashed under the request, so it is not sent again. */
    private holdBack({ reason, retryAfter }: HoldBack): void {
        if (this.limits.mayHaveRun || this.caller.headSent) {
            this.giveUp(reason);
            return;
        }
        this.finish();
        this.caller.refuse(requestCodes.crashesTargets, reason, retryAfter);
    }

    private giveUp(reason: string): void {
        const mayRun = this.limits.mayHaveRun || [...this.attempts].some(({ neverSent }) => !neverSent);
        const isLate = isPastDeadline(this.caller);
        if (mayRun) {
            const cause = isLate ? "deadline" : this.attempts.size > 0 ? "suspicion" : "target";
            const silence = Math.round(this.context.clock.now() - this.lastEventAt);
            noteGivenUp(this.context, this.caller, cause, { reason, events: this.events, silence });
        }
        this.finish();
        if (!mayRun) {
            const retryAfter = this.service.choose(noChains) === undefined ? brokenRetryAfter : fullRetryAfter;
            this.caller.refuse(requestCodes.noCapacity, reason, retryAfter);
            return;
        }
        this.caller.refuse(isLate ? requestCodes.deadlineExceeded : requestCodes.outcomeUnknown, reason);
    }

    private finish(): void {
        this.deadlineTimer?.cancel();
        this.resumeTimer?.cancel();
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

    private noteFailed(attempt: ChainAttempt, reason: string, endedBy: AttemptEnder): void {
        this.context.observation.logs.requests.warn({
            ...this.facts(attempt),
            chain: attempt.load.chain.dataCentre,
            head: attempt.target.id,
            reason,
            endedBy,
            events: this.events,
            after: Math.round(this.context.clock.now() - attempt.startedAt),
        }, "attempt failed");
    }

    /** What all lines about an attempt tell. */
    private facts(attempt: ChainAttempt): object {
        const { request, digest } = this.caller;
        const silence = Math.round(this.context.clock.now() - this.lastEventAt);
        return { request: request.id, digest, silence, ...this.service.evidence(attempt.load) };
    }
}
