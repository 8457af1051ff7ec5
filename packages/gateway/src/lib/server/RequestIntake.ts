import { type Clock } from "@waxwingspar/utils";
import { type MechanismSwitch } from "../Mechanisms.js";
import { type LoopMonitor } from "../observation/LoopMonitor.js";
import { type AcceptBursts } from "./AcceptBursts.js";
import { callEach } from "./callEach.js";
import { type ReceivedRequest } from "./CallerServer.js";
import { type AfterInput, TurnEnd } from "./TurnEnd.js";

/** Options of {@link RequestIntake}. */
export interface RequestIntakeOptions {
    readonly clock: Clock;
    readonly loop: Pick<LoopMonitor, "inputAge">;
    /** While it is active, no request is begun. */
    readonly bursts: Pick<AcceptBursts, "isActive" | "whenOver">;
    /** Begins to handle a request. */
    readonly onRequest: (request: ReceivedRequest) => void;
    /** Refuses a request that cannot be begun in time, which has waited for some milliseconds. */
    readonly onOverload: (request: ReceivedRequest, waited: number) => void;
    /** Called for each request that is not begun because its caller has left. */
    readonly onLeft: (request: ReceivedRequest) => void;
    readonly isOn: MechanismSwitch;
    readonly afterInput?: AfterInput;
}

/**
 * Milliseconds of one turn of the event loop in which requests are begun. Other input, such as the events of running
 * streams and the closes of callers, waits for as long.
 */
const maxTurnTime = 10;
/**
 * Milliseconds of one turn of the event loop in which requests are refused. In an overload, refusals must not take the
 * time in which other requests could be begun.
 */
const maxRefusalTime = 2;
/** Age in milliseconds from which on a caller's close may lie unread behind its request. */
const oldInput = 200;
/** Maximum milliseconds that a request waits in a crowd that passes. Callers give up unanswered requests after a second. */
const maxWaitInCrowd = 500;
/**
 * Maximum milliseconds that a request waits while the process has been late for longer than {@link maxWaitInCrowd}: an
 * eighth of a usual latency target, so that its caller can still be served in time elsewhere.
 */
const maxWaitInOverload = 75;

interface Waiting {
    readonly request: ReceivedRequest;
    readonly readAt: number;
    /** The number of the turn of the event loop from whose end on it may be begun. */
    readonly firstTurn: number;
}

/**
 * Begins requests in the order that serves the most callers when the process is short of processor time: as many in each
 * turn of the event loop as leave time for other input, the newest first, and none of callers that have left. In a
 * lasting overload, requests that cannot be begun in time are refused, so that their callers return later or elsewhere
 * instead of repeating them unanswered.
 */
export class RequestIntake {
    /** Requests that wait, in the order in which they were read. */
    private waiting: Waiting[] = [];
    private turn = 0;
    private readonly turnEnd: TurnEnd;
    /** Whether the requests that wait are handled when the present burst of connections is over. */
    private isHeldByBurst = false;
    /** Whether the requests that wait have been handled in the present turn. */
    private isTurnHandled = false;
    /** Milliseconds of the present turn in which requests were begun. */
    private spent = 0;
    /** Since when requests have waited without a break; undefined if none does. */
    private lateSince: number | undefined;

    constructor(private readonly options: RequestIntakeOptions) {
        this.turnEnd = new TurnEnd(() => this.endTurn(), options.afterInput);
    }

    /** Begins a request that has been read, immediately unless the process is late. */
    take(request: ReceivedRequest): void {
        const { loop, clock, bursts } = this.options;
        this.turnEnd.expect();
        const isBusy = bursts.isActive || this.waiting.length > 0 || this.spent >= maxTurnTime;
        const isOld = loop.inputAge > oldInput;
        if (!isBusy && !isOld) {
            this.begin(request);
            return;
        }
        this.lateSince ??= clock.now();
        this.waiting.push({ request, readAt: clock.now(), firstTurn: this.turn + (isOld ? 2 : 1) });
    }

    /** Removes the requests that wait. */
    takeWaiting(): ReceivedRequest[] {
        return this.waiting.splice(0).map(({ request }) => request);
    }

    private endTurn(): void {
        this.turn++;
        const { bursts } = this.options;
        if (this.isTurnHandled) {
            this.turnEnd.expect();
        }
        else if (!bursts.isActive) {
            this.handleWaiting();
        }
        else if (!this.isHeldByBurst) {
            this.isHeldByBurst = true;
            bursts.whenOver(() => this.handleAfterBurst());
        }
        this.isTurnHandled = false;
        this.spent = 0;
    }

    private handleAfterBurst(): void {
        this.isHeldByBurst = false;
        this.isTurnHandled = true;
        this.handleWaiting();
        this.turnEnd.expect();
    }

    /** Begins, refuses or drops requests that wait. */
    private handleWaiting(): void {
        this.dropLeft();
        this.beginWaiting();
        this.refuseLate();
        if (this.waiting.length > 0) {
            this.turnEnd.expect();
        }
        else {
            this.lateSince = undefined;
        }
    }

    private dropLeft(): void {
        const left = this.waiting.filter(({ request }) => request.presence.hasLeft);
        if (left.length > 0) {
            this.waiting = this.waiting.filter(({ request }) => !request.presence.hasLeft);
            callEach(left.map(({ request }) => () => this.options.onLeft(request)));
        }
    }

    /** An old request is begun a turn later: the input of that turn shows whether its caller has left. */
    private beginWaiting(): void {
        const isNewestFirst = this.options.isOn("newest-first");
        while (this.spent < maxTurnTime) {
            const isReady = ({ firstTurn }: Waiting) => firstTurn <= this.turn;
            const index = isNewestFirst ? this.waiting.findLastIndex(isReady) : this.waiting.findIndex(isReady);
            const [next] = index === -1 ? [] : this.waiting.splice(index, 1);
            if (next === undefined) {
                return;
            }
            this.begin(next.request);
        }
    }

    private refuseLate(): void {
        if (!this.options.isOn("overload-refusals")) {
            return;
        }
        const { clock, onOverload } = this.options;
        const now = clock.now();
        const isLasting = this.lateSince !== undefined && now - this.lateSince > maxWaitInCrowd;
        const maxWait = isLasting ? maxWaitInOverload : maxWaitInCrowd;
        for (let [oldest] = this.waiting; oldest !== undefined; [oldest] = this.waiting) {
            if (now - oldest.readAt <= maxWait || clock.now() - now >= maxRefusalTime) {
                return;
            }
            this.waiting.shift();
            const { request, readAt } = oldest;
            callEach([() => onOverload(request, now - readAt)]);
        }
    }

    private begin(request: ReceivedRequest): void {
        const { clock, onRequest } = this.options;
        const startedAt = clock.now();
        callEach([() => onRequest(request)]);
        this.spent += clock.now() - startedAt;
    }
}
