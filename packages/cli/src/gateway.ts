import { type Server } from "node:net";
import { runGateway } from "./lib/gateway/runGateway.js";

/**
 * The gateway as a program of its own. It is bundled without the rest of the command line, since what a process loads
 * at its start delays its return after a failure.
 */

const failed = 1;

/**
 * Runs the gateway until it is stopped, then ends the process.
 *
 * @param callerListener - A server that listens for callers already.
 */
export function main(callerListener?: Server): void {
    const metricsFlag = process.argv.indexOf("--metrics-port");
    const metricsPort = metricsFlag === -1 ? undefined : Number(process.argv[metricsFlag + 1]);
    runGateway({ metricsPort, callerListener }).then(
        code => process.exit(code),
        (error: unknown) => {
            process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
            process.exit(failed);
        },
    );
}
