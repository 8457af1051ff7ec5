import { type Clock } from "@waxwingspar/utils";
import { type Observation } from "../observation/Observation.js";
import { type AcceptBursts } from "../server/AcceptBursts.js";
import { CallerServer, type CallerServerOptions } from "../server/CallerServer.js";
import { type ClientGuard } from "../server/ClientGuard.js";
import { OverloadControl, type OverloadControlOptions } from "../server/OverloadControl.js";
import { type RequestPath } from "./RequestPath.js";
import { type RequestRouter } from "./RequestRouter.js";

/** Options of {@link createCallerServer}. */
export interface CallerServerCreation
    extends
        Pick<CallerServerOptions, "address" | "listening" | "maxBodyBytes">,
        Pick<OverloadControlOptions, "isOn" | "group"> {
    readonly clock: Clock;
    readonly guard: ClientGuard;
    readonly loop: CallerServerOptions["loop"] & OverloadControlOptions["loop"];
    readonly bursts: AcceptBursts;
    readonly router: RequestRouter;
    readonly path: RequestPath;
    /** Whether this process is stopping and begins no request any more. */
    readonly refusesNewRequests: () => boolean;
    readonly observation: Observation;
}

/** Creates the server for callers, and the control that turns them away while the process has too much to do. */
export function createCallerServer(options: CallerServerCreation): {
    readonly callers: CallerServer;
    readonly overload: OverloadControl;
} {
    const { clock, loop, guard, address, listening, maxBodyBytes, isOn, group, bursts, router, path } = options;
    const { logs, metrics } = options.observation;
    const callers: CallerServer = new CallerServer({
        clock,
        loop,
        budget: guard.budget,
        maxConnections: guard.limits.connections,
        address,
        listening,
        maxBodyBytes,
        mayAccept: () => overload.mayAccept,
        mayListen: () => overload.mayListen,
        onListenError: error =>
            logs.process.error({ error: error.message }, "cannot listen again; it is tried further"),
        onConnection: () => {
            overload.noteAccepted();
            bursts.noteConnection();
        },
        onDrop: () => {
            bursts.noteConnection();
            overload.noteDropped();
        },
        onRequest: request => {
            if (options.refusesNewRequests()) {
                router.refuseStopping(request.response);
            }
            else if (overload.admits(request)) {
                path.take(request);
            }
            else {
                router.refuseOverloaded(request, 0);
            }
        },
        onClosing: () => {
            path.refuseWaiting();
            router.endAll("this process stops");
        },
        onUnfinished: response => router.refuseStopping(response),
        onRefused: (response, reason) => router.refuseUnread(response, reason),
        onGuarded: reason => guard.note(reason),
        onUnanswered: input => guard.noteUnanswered(input),
    });
    const overload = new OverloadControl({ clock, loop, callers, group, isOn, metrics, logger: logs.process });
    return { callers, overload };
}
