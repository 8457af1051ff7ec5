import { type Clock } from "@waxwingspar/utils";
import { type ExchangeListener, type ExchangeOptions } from "../upstream/Exchange.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type RequestContext } from "./RequestContext.js";

/** Options of {@link RequestGuard}. */
export interface RequestGuardOptions {
    readonly context: Omit<RequestContext, "guard">;
    readonly caller: CallerExchange;
}

/** Why a request ends whose callback has thrown. */
const errorReason = "an error in this process";
/** Maximum number of attempts to end a request. Each one gets further, as nothing is given back twice. */
const maxEnds = 3;

/**
 * Ends a request when one of its callbacks throws: it is answered with what is known of its outcome, and gives back its
 * slots, permits and memory. Without it the exception would end in the handler of the process, and the request never.
 */
export class RequestGuard {
    /** What the request uses instead of what it was given: all callbacks that are passed on are guarded. */
    readonly context: RequestContext;
    private end: () => void = () => undefined;
    private isEnding = false;

    constructor(private readonly options: RequestGuardOptions) {
        const { context } = options;
        this.context = {
            ...context,
            guard: this,
            clock: this.guardClock(context.clock),
            openExchange: exchange => context.openExchange(this.guardExchange(exchange)),
        };
    }

    /** Runs the request. @param end - Ends it with what is known of its outcome. */
    start(run: () => void, end: () => void): void {
        this.end = end;
        this.wrap("start", run)();
    }

    /**
     * Guards a callback.
     *
     * @param place - Names it in logs and metrics.
     */
    wrap<Arguments extends unknown[]>(
        place: string,
        callback: (...given: Arguments) => void,
    ): (...given: Arguments) => void {
        return (...given) => {
            try {
                callback(...given);
            }
            catch (error) {
                this.fail(place, error);
            }
        };
    }

    /** Guards what happens after a promise. */
    watch(place: string, promise: Promise<void>): void {
        promise.catch((error: unknown) => this.fail(place, error));
    }

    private guardClock(clock: Clock): Clock {
        return {
            now: () => clock.now(),
            date: () => clock.date(),
            schedule: (callback, delay) => clock.schedule(this.wrap("timer", callback), delay),
        };
    }

    private guardExchange(exchange: ExchangeOptions): ExchangeOptions {
        const { listener, maySend } = exchange;
        const guarded: ExchangeListener = {
            onHead: this.wrap("head", response => listener.onHead(response)),
            onData: this.wrap("data", chunk => listener.onData(chunk)),
            onEnd: this.wrap("end", () => listener.onEnd()),
            onFailure: this.wrap("failure", failure => listener.onFailure(failure)),
        };
        const mayBeSent = () => {
            let isAllowed = false;
            this.wrap("send", () => isAllowed = maySend())();
            return isAllowed;
        };
        return { ...exchange, listener: guarded, maySend: mayBeSent };
    }

    private fail(place: string, error: unknown): void {
        const { context: { observation }, caller } = this.options;
        observation.metrics.requestErrors.add({ place });
        observation.logs.requests.error({
            request: caller.request.id,
            digest: caller.digest,
            place,
            error: error instanceof Error ? error.stack : String(error),
        }, "error in a request");
        if (!this.isEnding) {
            this.isEnding = true;
            this.endRequest();
        }
    }

    private endRequest(): void {
        let hasEnded = false;
        for (let attempt = 0; attempt < maxEnds && !hasEnded; attempt++) {
            this.wrap("giveUp", () => {
                this.end();
                hasEnded = true;
            })();
        }
        this.options.caller.breakOff(errorReason);
    }
}
