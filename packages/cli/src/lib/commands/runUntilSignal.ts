import { type Failure } from "@waxwingspar/utils";
import { exitCodes } from "./exitCodes.js";

/** Something that runs until it is stopped. @internal */
export interface Stoppable {
    /** Stops gracefully. @returns The number of requests that were interrupted. */
    stop(): Promise<number>;
}

/**
 * Waits for SIGTERM or SIGINT, then stops gracefully. A further SIGINT exits the process immediately.
 *
 * @returns The exit code: 0 if no request was interrupted.
 * @internal
 */
export async function runUntilSignal(running: Stoppable): Promise<number> {
    await new Promise<void>(resolve => {
        process.once("SIGTERM", resolve);
        process.once("SIGINT", resolve);
    });
    process.on("SIGTERM", () => undefined);
    process.on("SIGINT", () => process.exit(exitCodes.failed));
    const interrupted = await running.stop();
    return interrupted === 0 ? exitCodes.done : exitCodes.failed;
}

/** Formats a failure that ends a command: its code, then its message. @internal */
export function describeFailure(command: string, { code, message }: Failure): string {
    return `${command}: ${code.number} ${code.name}\n${message}\n`;
}
