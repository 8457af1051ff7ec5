import { requestCodes, type ResultCode } from "@waxwingspar/utils";
import { type Target } from "../directory/Target.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type Precedence } from "./precedence.js";
import { type RequestContext } from "./RequestContext.js";

/** Options of {@link SendGate}. */
export interface SendGateOptions {
    readonly context: Pick<RequestContext, "permits" | "rests" | "guard">;
    readonly caller: Pick<CallerExchange, "ended" | "request">;
    /** Precedence of the next send. */
    readonly precedence: () => Precedence;
}

/** Why targets take no request now, and for how long. */
export interface Closure {
    readonly code: ResultCode;
    readonly reason: string;
    /** Milliseconds until one of them may take a request. */
    readonly wait: number;
    /** Whether none of them takes a request earlier. */
    readonly isBinding: boolean;
}

/** Describes the closure of targets that rest. */
export function restClosure(wait: number, reason = "all targets rest"): Closure {
    return { code: requestCodes.targetsResting, reason, wait, isBinding: true };
}

/** Holds back the sends of one request to targets that rest, and to limited ones until they are permitted. */
export class SendGate {
    /** Whether a permit for a send has been requested. */
    private isAcquiring = false;

    constructor(private readonly options: SendGateOptions) {}

    /** Whether a send is held; no other one may begin until it is decided. */
    get isHolding(): boolean {
        return this.isAcquiring;
    }

    /** Whether the request may be sent to a target, or a permit for it may be available. */
    mayPass(target: Target): boolean {
        return this.closureOf(target) === undefined;
    }

    /**
     * Calls `send` if the request may be sent to a target, immediately unless the target is limited, or `onDenied` if
     * its limit is used up or its rest began meanwhile. Calls neither if the request ends before.
     */
    pass(target: Target, send: () => void, onDenied: () => void): void {
        if (this.options.context.permits.isNeeded(target)) {
            this.options.context.guard.watch("permit", this.acquire(target, send, onDenied));
        }
        else {
            send();
        }
    }

    /** Describes the target that takes a request first; undefined if one takes it now, or there are none. */
    findClosure(targets: readonly Target[]): Closure | undefined {
        const closures = targets.flatMap(target => this.closureOf(target) ?? []);
        return closures.length < targets.length
            ? undefined
            : closures.sort((a, b) => a.wait - b.wait)[0];
    }

    private closureOf(target: Target): Closure | undefined {
        const { context: { permits, rests }, precedence } = this.options;
        const restWait = rests.waitFor(target);
        if (!permits.mayAcquire(target, precedence())) {
            const wait = Math.max(restWait, permits.retryAfter([target], precedence()));
            return { code: requestCodes.noCapacity, reason: "limits of targets are used up", wait, isBinding: false };
        }
        if (restWait === 0) {
            return undefined;
        }
        return restClosure(
            restWait,
            rests.timeLeft(target) > 0 ? undefined : "targets take few requests after their rest",
        );
    }

    private async acquire(target: Target, send: () => void, onDenied: () => void): Promise<void> {
        const { context, caller, precedence } = this.options;
        this.isAcquiring = true;
        const { id: requestId } = caller.request;
        const isGranted = await context.permits.acquire({ target, precedence: precedence(), requestId });
        this.isAcquiring = false;
        if (caller.ended) {
            return;
        }
        if (isGranted && context.rests.waitFor(target) === 0) {
            send();
        }
        else {
            onDenied();
        }
    }
}
