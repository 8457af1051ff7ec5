import { requestCodes, type Timer } from "@waxwingspar/utils";
import { type ChainLoad } from "../chains/ChainRouter.js";
import { type ChainService } from "../chains/ChainService.js";
import { type HoldBack, settleTime } from "../crashes/CrashGuard.js";
import { type Target } from "../directory/Target.js";
import { type ExchangeFailure, type OpenExchange, type ReplyMessage } from "../upstream/Exchange.js";
import { type AttemptEnd, AttemptLimits } from "./AttemptLimits.js";
import { type CallerExchange } from "./CallerExchange.js";
import { CrashCheck } from "./CrashCheck.js";
import { EventSplitter, type StreamEvent } from "./EventSplitter.js";
import { isPastDeadline, noteGivenUp } from "./noteGivenUp.js";
import { openExchange } from "./openExchange.js";
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
/** How long the first event may take, against its latency target, before another chain is tried. */
const firstEventPatience = 3;
const noChains: ReadonlySet<string> = new Set();
const firstSuccess = 200;
const firstRedirect = 300;

/** Whether a target ended a run of a request, or the gateway gave it up. */
type AttemptEnder = "target" | "gateway";

interface AttemptEndOptions {
    /** Whether the chain may be used again if no other is left. */
    readonly mayReuse?: boolean;
    readonly endedBy?: AttemptEnder;
}

interface Attempt {
    readonly load: ChainLoad;
    /** The first target of its chain. */
    readonly target: Target;
    readonly exchange: OpenExchange;
    readonly startedAt: number;
    readonly splitter: EventSplitter;
    /** Set for a reply that is no stream, which is passed on whole. */
    isPlain: boolean;
    response?: ReplyMessage;
    /** When its first and its last event came, on the clock; undefined before the first. */
    firstEventAt: number | undefined;
    lastEventAt: number | undefined;
}

/**
 * Runs one streamed request over a chain of targets. A stream that breaks off or stalls goes on over another chain after
 * the last event that the caller has, where its route allows that; the caller sees one stream.
 */
export class StreamRun {
    private attempt: Attempt | undefined;
    /** Chains that failed the request in any way. */
    private readonly failedChains = new Set<string>();
    /** Those of them that would fail it again; one that merely lost a connection may be used if no other is left. */
    private readonly deadChains = new Set<string>();
    private readonly limits: AttemptLimits;
    private readonly crashCheck: CrashCheck;
    private lastEventAt: number;
    private resumeTimer: Timer | undefined;
    private lastEventId: string | undefined;
    private events = 0;
    /** Set while its last run was given up on a suspicion, so that nobody knows whether it would have gone on. */
    private leftLivingRun = false;
    private deadlineTimer: Timer | undefined;
    private firstEventTimer: Timer | undefined;

    constructor(
        private readonly context: RequestContext,
        private readonly caller: CallerExchange,
        private readonly service: ChainService,
    ) {
        this.lastEventId = caller.request.lastEventId;
        this.lastEventAt = context.clock.now();
        this.limits = new AttemptLimits({ budget: context.budget, maxAttempts: caller.route.maxAttempts });
        this.crashCheck = new CrashCheck({
            context,
            caller,
            canSend: () => this.limits.mayBegin && this.chooseChain() !== undefined,
        });
    }

    start(): void {
        this.context.budget.request();
        this.caller.onGone(() => this.finish());
        const delay = Math.max(0, this.caller.timeLeft);
        this.deadlineTimer = this.context.clock.schedule(() => this.giveUp("time is up"), delay);
        this.send();
    }

    /** Leaves a chain whose requests have stalled, if the request can go on elsewhere; else the chain may yet recover. */
    leaveChain(reason: string): void {
        const { attempt } = this;
        if (attempt === undefined) {
            return;
        }
        const end = attempt.exchange.neverSent ? "neverSent" : "unknown";
        const mayMove = this.mayRepeat(end) && this.limits.mayReplaceSend;
        if (mayMove && this.service.chooseWell(this.triedChains(attempt)) !== undefined) {
            attempt.exchange.cancel();
            this.attemptEnded(attempt, end, reason, { endedBy: "gateway" });
        }
    }

    private triedChains({ load }: Attempt): ReadonlySet<string> {
        return new Set([...this.failedChains, load.chain.key]);
    }

    private get mayResume(): boolean {
        const { route } = this.caller;
        return route.kind === "idempotent" || (route.kind === "stream" && route.isResumable);
    }

    private send(): void {
        this.crashCheck.pass(() => this.sendNow(), why => this.holdBack(why));
    }

    private sendNow(): void {
        const load = this.chooseChain();
        const head = load?.chain.hops[0];
        const target = head === undefined ? undefined : this.service.target(head.targetId);
        if (load === undefined || head === undefined || target === undefined) {
            this.waitOrGiveUp("no chain is left");
            return;
        }
        if (!this.limits.begin()) {
            this.giveUp("retry budget is used up");
            return;
        }
        const { context, caller } = this;
        const attempt: Attempt = {
            load,
            target,
            startedAt: context.clock.now(),
            splitter: new EventSplitter(),
            isPlain: false,
            firstEventAt: undefined,
            lastEventAt: undefined,
            exchange: openExchange({
                context,
                caller,
                target,
                chain: load.chain.hops,
                lastEventId: this.lastEventId,
                priority: this.events > 0
                    ? resumedPriority(caller.request.tokens?.prompt ?? 0, context.isOn)
                    : undefined,
                listener: {
                    onHead: response => this.receiveHead(attempt, response),
                    onData: chunk => this.receiveData(attempt, chunk),
                    onEnd: () => this.receiveEnd(attempt),
                    onFailure: failure => this.exchangeFailed(attempt, failure),
                },
            }),
        };
        this.attempt = attempt;
        this.service.begin(load, this);
        caller.onDrain(() => attempt.exchange.resume());
        this.watchFirstEvent(attempt);
    }

    private chooseChain(): ChainLoad | undefined {
        const { service, failedChains, deadChains } = this;
        return this.limits.isRepeat
            ? service.chooseToResume(failedChains) ?? service.chooseToResume(deadChains)
            : service.choose(failedChains) ?? service.choose(deadChains);
    }

    private receiveHead(attempt: Attempt, response: ReplyMessage): void {
        attempt.response = response;
        const status = response.statusCode ?? 0;
        const head = this.context.wire.readReplyHead(status, response.headers);
        if (head.neverExecuted) {
            this.service.refused(attempt.load, status, head.faultyAddress);
            attempt.exchange.cancel();
            this.attemptEnded(attempt, "neverExecuted", `refused with ${status} at ${head.faultyAddress ?? "head"}`);
        }
        else if (!head.isSigned || (head.requestId !== undefined && head.requestId !== this.caller.request.id)) {
            attempt.exchange.cancel();
            this.attemptEnded(attempt, "unknown", `reply ${status} is not this request's`);
        }
        else if (status < firstSuccess || status >= firstRedirect) {
            this.receiveFailedReply(attempt, status);
        }
    }

    /** The target says itself that it failed: repeated where allowed, else passed on. */
    private receiveFailedReply(attempt: Attempt, status: number): void {
        if (this.caller.headSent || this.mayRepeat("unknown")) {
            attempt.exchange.cancel();
            this.attemptEnded(attempt, "unknown", `target's own status ${status}`);
            return;
        }
        attempt.isPlain = true;
        this.caller.writeHead(status, attempt.response?.rawHeaders ?? []);
    }

    private receiveData(attempt: Attempt, chunk: Buffer): void {
        if (attempt.isPlain) {
            this.pass(attempt, chunk);
            return;
        }
        const events = attempt.splitter.push(chunk);
        const fresh = events.filter(event => this.isNew(event));
        if (events.length > 0) {
            this.noteEvents(attempt);
        }
        if (fresh.length === 0) {
            return;
        }
        if (!this.caller.headSent) {
            this.caller.writeHead(attempt.response?.statusCode ?? 0, attempt.response?.rawHeaders ?? []);
        }
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

    private noteEvents(attempt: Attempt): void {
        const now = this.context.clock.now();
        const interval = attempt.lastEventAt === undefined ? undefined : now - attempt.lastEventAt;
        if (interval === undefined) {
            this.firstEventTimer?.cancel();
            this.service.firstEvent(attempt.load);
        }
        attempt.firstEventAt ??= now;
        attempt.lastEventAt = now;
        this.service.event(attempt.load, interval);
        if (now - attempt.firstEventAt >= settleTime) {
            this.crashCheck.noteWell();
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

    private pass(attempt: Attempt, bytes: Buffer): void {
        if (!this.caller.write(bytes)) {
            attempt.exchange.pause();
        }
    }

    private receiveEnd(attempt: Attempt): void {
        if (attempt.splitter.hasPartialEvent) {
            this.attemptEnded(attempt, "unknown", "ended within an event");
            return;
        }
        if (!this.caller.headSent) {
            this.caller.writeHead(attempt.response?.statusCode ?? 0, attempt.response?.rawHeaders ?? []);
        }
        this.crashCheck.noteWell();
        this.finish();
        this.caller.end(`served ${this.events} events`);
    }

    private exchangeFailed(attempt: Attempt, { neverSent, reason }: ExchangeFailure): void {
        this.service.broke(attempt.load, neverSent);
        if (!neverSent) {
            const { target, startedAt, firstEventAt } = attempt;
            this.crashCheck.noteCut({ target, startedAt, repliedAt: firstEventAt });
        }
        this.attemptEnded(attempt, neverSent ? "neverSent" : "unknown", reason, { mayReuse: !neverSent });
    }

    private attemptEnded(attempt: Attempt, end: AttemptEnd, reason: string, options: AttemptEndOptions = {}): void {
        const { mayReuse = false, endedBy = "target" } = options;
        this.release();
        this.failedChains.add(attempt.load.chain.key);
        if (!mayReuse) {
            this.deadChains.add(attempt.load.chain.key);
        }
        this.note(attempt, reason, endedBy);
        if (attempt.isPlain) {
            this.finish();
            this.caller.breakOff(reason);
            return;
        }
        this.limits.end(end);
        this.leftLivingRun = endedBy === "gateway" || (this.leftLivingRun && end !== "unknown");
        if (this.mayRepeat(end)) {
            this.send();
            return;
        }
        this.giveUp(reason);
    }

    private mayRepeat(end: AttemptEnd): boolean {
        const isAllowed = end !== "unknown" || this.mayResume;
        return isAllowed && this.limits.hasAttemptLeft && this.caller.timeLeft > 0;
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
        this.failedChains.clear();
        this.deadChains.clear();
        this.resumeTimer = clock.schedule(() => this.send(), resumeInterval);
    }

    private watchFirstEvent(attempt: Attempt): void {
        this.firstEventTimer?.cancel();
        const delay = this.caller.route.latencyTarget * firstEventPatience;
        this.firstEventTimer = this.context.clock.schedule(() => {
            if (this.attempt === attempt && this.service.chooseWithRoom(this.triedChains(attempt)) !== undefined) {
                this.leaveChain("no first event");
            }
        }, delay);
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
        const mayRun = this.limits.mayHaveRun || this.attempt?.exchange.neverSent === false;
        const isLate = isPastDeadline(this.caller);
        if (mayRun) {
            const cause = isLate ? "deadline" : this.leftLivingRun ? "suspicion" : "target";
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
        this.attempt?.exchange.cancel();
        this.release();
    }

    /** Gives back what the attempt holds of its chain. */
    private release(): void {
        this.firstEventTimer?.cancel();
        this.crashCheck.end();
        const { attempt } = this;
        if (attempt !== undefined) {
            this.attempt = undefined;
            this.service.end(attempt.load, this, attempt.lastEventAt !== undefined);
            this.context.observation.metrics.sends.add({ result: "stream" });
        }
    }

    private note(attempt: Attempt, reason: string, endedBy: AttemptEnder): void {
        this.context.observation.logs.requests.warn({
            request: this.caller.request.id,
            digest: this.caller.digest,
            chain: attempt.load.chain.dataCentre,
            head: attempt.load.chain.hops[0]?.targetId,
            reason,
            endedBy,
            ...this.service.evidence(attempt.load),
            events: this.events,
            silence: Math.round(this.context.clock.now() - this.lastEventAt),
            after: Math.round(this.context.clock.now() - attempt.startedAt),
        }, "attempt failed");
    }
}
