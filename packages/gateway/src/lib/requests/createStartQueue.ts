import { RequestIntake, type RequestIntakeOptions } from "../server/RequestIntake.js";
import { type RequestRouter } from "./RequestRouter.js";
import { StartQueue } from "./StartQueue.js";

/** Options of {@link createStartQueue}. */
export interface StartQueueCreation extends Pick<RequestIntakeOptions, "clock" | "loop" | "bursts" | "isOn"> {
    readonly router: RequestRouter;
    /** Whether this process has the state that it needs to authenticate and serve requests. */
    readonly isReady: () => boolean;
}

/** Creates the path of a request from its caller's connection to the router: start queue, then intake. */
export function createStartQueue({ router, isReady, ...options }: StartQueueCreation): StartQueue {
    const { clock, isOn } = options;
    const intake = new RequestIntake({
        ...options,
        onRequest: request => router.handle(request),
        onOverload: (request, waited) => router.refuseOverloaded(request, waited),
        onLeft: request => router.noteLeft(request),
    });
    return new StartQueue({
        clock,
        isReady: () => isReady() || !isOn("start-queue"),
        onRequest: request => intake.take(request),
    });
}
