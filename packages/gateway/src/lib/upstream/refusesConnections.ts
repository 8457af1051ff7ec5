import { connect } from "node:net";
import { type Target } from "../directory/Target.js";

/**
 * Milliseconds until a connection must be established or refused: a round trip takes 1 to 2 ms, and a lost packet is
 * retransmitted after 200 ms.
 */
const probeTimeout = 450;

/**
 * Resolves to true if no process listens at a target's address. An unreachable or powered-off host does not answer,
 * which gives no information about the process and resolves to false.
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
