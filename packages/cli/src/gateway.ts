import { runGateway } from "./lib/gateway/runGateway.js";

/**
 * The gateway as a program of its own. It is bundled without the rest of the command line, since what a process loads
 * at its start delays its return after a failure.
 */

const metricsFlag = process.argv.indexOf("--metrics-port");
const metricsPort = metricsFlag === -1 ? undefined : Number(process.argv[metricsFlag + 1]);
process.exit(await runGateway({ metricsPort }));
