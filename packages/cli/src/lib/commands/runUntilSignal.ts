import { type Failure } from "@waxwingspar/utils";
import { exitCodes } from "./exitCodes.js";

/** Something that runs until it is told to stop. @internal */
export interface Running {
    /** Stops gracefully. @returns How many requests were cut off. */
    stop(): Promise<number>;
}

/**
 * Waits for SIGTERM or SIGINT, then stops gracefully. A second SIGINT ends the process at once.
 *
 * @returns The exit code: 0 if no request was cut off.
 * @internal
 */
export async function runUntilSignal(running: Running): Promise<number> {
    await new Promise<void>(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
    process.on("SIGTERM", () => undefined);
    process.on("SIGINT", () => process.exit(exitCodes.failed));
    const interrupted = await running.stop();
    return interrupted === 0 ? exitCodes.done : exitCodes.failed;
}

/** One line for a failure that ends a command. @internal */
export function describeFailure(command: string, { code, message }: Failure): string {
    return `${command}: ${code.number} ${code.name}\n${message}\n`;
}
