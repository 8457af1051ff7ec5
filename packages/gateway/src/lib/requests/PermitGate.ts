import { type Target } from "../directory/Target.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type Precedence } from "./precedence.js";
import { type RequestContext } from "./RequestContext.js";

/** Options of {@link PermitGate}. */
export interface PermitGateOptions {
    readonly context: Pick<RequestContext, "permits">;
    readonly caller: Pick<CallerExchange, "ended" | "request">;
    /** Precedence of the next send. */
    readonly precedence: () => Precedence;
}

/** Reason of a refusal for the limits that targets named. */
export const limitsUsedUp = "limits of targets are used up";

/** Holds the sends of one request to limited targets until they are permitted. */
export class PermitGate {
    /** Whether a permit for a send has been requested. */
    private isAcquiring = false;

    constructor(private readonly options: PermitGateOptions) {}

    /** Whether a send is held; no other one may begin until it is decided. */
    get isHolding(): boolean {
        return this.isAcquiring;
    }

    /** Whether the request may be sent to a target, or a permit for it may be available. */
    mayPass(target: Target): boolean {
        const { context, precedence } = this.options;
        return context.permits.mayAcquire(target, precedence());
    }

    /**
     * Calls `send` if the request may be sent to a target, immediately unless the target is limited, or `onDenied` if
     * its limit is used up. Calls neither if the request ends before.
     */
    pass(target: Target, send: () => void, onDenied: () => void): void {
        if (this.options.context.permits.isNeeded(target)) {
            void this.acquire(target, send, onDenied);
        }
        else {
            send();
        }
    }

    /** Milliseconds until a limit may permit a send to one of the targets; undefined if one may be tried now. */
    waitFor(targets: readonly Target[]): number | undefined {
        const { context, precedence } = this.options;
        const isClosed = targets.length > 0 && targets.every(target => !this.mayPass(target));
        return isClosed ? context.permits.retryAfter(targets, precedence()) : undefined;
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
        if (isGranted) {
            send();
        }
        else {
            onDenied();
        }
    }
}
