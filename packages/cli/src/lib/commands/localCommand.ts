import { createLogger, type LogLevel } from "@waxwingspar/telemetry";
import { type Address } from "@waxwingspar/transport";
import { seededRandom, SystemClock } from "@waxwingspar/utils";
import { randomInt } from "node:crypto";
import { LocalSite } from "../site/LocalSite.js";
import { type CommandOutput } from "./CommandOutput.js";
import { exitCodes } from "./exitCodes.js";
import { describeFailure, runUntilSignal } from "./runUntilSignal.js";

/** Options of `waxwingspar local`. @internal */
export interface LocalCommandOptions {
    readonly callers: Address;
    readonly operators: Address;
    /** The folder that receives one history file per node. */
    readonly history?: string;
    readonly log: LogLevel;
}

const maxSeed = 0x7fff_ffff;

/**
 * Runs a small site in this process until SIGTERM or SIGINT.
 *
 * @returns The exit code.
 * @internal
 */
export async function localCommand(options: LocalCommandOptions, output: CommandOutput): Promise<number> {
    const site = new LocalSite({
        callers: options.callers,
        operators: options.operators,
        clock: new SystemClock(),
        random: seededRandom(randomInt(maxSeed)),
        logger: createLogger({ level: options.log }),
        historyFolder: options.history,
    });
    const started = await site.start();
    if (started.isErr) {
        output.writeError(describeFailure("local", started.error));
        await site.stop();
        return exitCodes.failed;
    }
    const { callers, operators } = started.value;
    output.write(`callers:   http://${callers.host}:${callers.port}/v1 (model demo), /services/records\n`);
    output.write(`operators: http://${operators.host}:${operators.port}/metrics\n`);
    return runUntilSignal(site);
}
