import { type Server } from "node:net";
import { runGateway } from "./lib/gateway/runGateway.js";

/**
 * Entry point of the stand-alone gateway program. It is bundled without the rest of the command line, because every
 * module loaded at startup delays the restart after a failure.
 */

const failed = 1;

/**
 * Runs the gateway until it is stopped, then exits the process.
 *
 * @param callerListener - A server that already listens for callers.
 */
export function main(callerListener?: Server): void {
    const port = readOption("--metrics-port");
    const metricsPort = port === undefined ? undefined : Number(port);
    runGateway({ metricsPort, callerListener, without: readOption("--without") }).then(
        code => process.exit(code),
        (error: unknown) => {
            process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
            process.exit(failed);
        },
    );
}

/** Returns the command-line argument that follows an option. */
function readOption(name: string): string | undefined {
    const index = process.argv.indexOf(name);
    return index === -1 ? undefined : process.argv[index + 1];
}
