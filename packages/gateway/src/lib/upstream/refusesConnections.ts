import { connect } from "node:net";
import { type Target } from "../directory/Target.js";

/** Milliseconds for a connection to open or be refused: round trips take 1 to 2 ms, a lost packet comes again after 200. */
const probeTimeout = 450;

/**
 * Whether no process listens at a target's address. A host that is cut off or without power gives no answer, which says
 * nothing of the process.
 */
export function refusesConnections({ host, port }: Pick<Target, "host" | "port">): Promise<boolean> {
    return new Promise(resolve => {
        const socket = connect({ host, port });
        const end = (isRefused: boolean) => {
            socket.destroy();
            resolve(isRefused);
        };
        socket.setTimeout(probeTimeout, () => end(false));
        socket.once("connect", () => end(false));
        socket.once("error", (error: NodeJS.ErrnoException) => end(error.code === "ECONNREFUSED"));
    });
}
