import { type ReceivedRequest } from "../server/CallerServer.js";
import { RequestIntake, type RequestIntakeOptions } from "../server/RequestIntake.js";
import { type RequestRouter } from "./RequestRouter.js";
import { StartQueue } from "./StartQueue.js";

/** Options of {@link RequestPath}. */
export interface RequestPathOptions extends Pick<RequestIntakeOptions, "clock" | "loop" | "bursts" | "isOn"> {
    readonly router: RequestRouter;
    /** Whether this process has the state that it needs to authenticate and serve requests. */
    readonly isReady: () => boolean;
}

/** The path of a request from its caller's connection to the router: the start queue, then the intake. */
export class RequestPath {
    private readonly startQueue: StartQueue;
    private readonly intake: RequestIntake;

    constructor(private readonly options: RequestPathOptions) {
        const { router, isReady, clock, isOn } = options;
        this.intake = new RequestIntake({
            ...options,
            onRequest: request => router.handle(request),
            onOverload: (request, waited) => router.refuseOverloaded(request, waited),
            onLeft: request => router.noteLeft(request),
        });
        this.startQueue = new StartQueue({
            clock,
            isReady: () => isReady() || !isOn("start-queue"),
            onRequest: request => this.intake.take(request),
        });
    }

    /** Forwards a request once this process can serve it. */
    take(request: ReceivedRequest): void {
        this.startQueue.take(request);
    }

    /** Forwards the requests that wait for the start of this process, if it has the state now. */
    release(): void {
        this.startQueue.release();
    }

    /** Refuses the requests that wait, none of which has been begun, since this process stops. */
    refuseWaiting(): void {
        const waiting = [...this.startQueue.takeWaiting(), ...this.intake.takeWaiting()];
        const present = waiting.filter(({ presence }) => !presence.hasLeft);
        present.forEach(({ response }) => this.options.router.refuseStopping(response));
    }
}
