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
    const port = option("--metrics-port");
    const metricsPort = port === undefined ? undefined : Number(port);
    runGateway({ metricsPort, callerListener, without: option("--without") }).then(
        code => process.exit(code),
        (error: unknown) => {
            process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
            process.exit(failed);
        },
    );
}

/** The value behind an option of the command line. */
function option(name: string): string | undefined {
    const index = process.argv.indexOf(name);
    return index === -1 ? undefined : process.argv[index + 1];
}
