import { decodeSettings } from "@waxwingspar/platform";
import { readFile } from "node:fs/promises";
import { type CommandOutput } from "./CommandOutput.js";
import { exitCodes } from "./exitCodes.js";

/**
 * Checks a settings file that the users' platform gives to a gateway. Fields that the gateway does not use are ignored.
 *
 * @returns The exit code; an error names the field at fault.
 * @internal
 */
export async function checkGatewayCommand(file: string, output: CommandOutput): Promise<number> {
    try {
        const settings = decodeSettings(JSON.parse(await readFile(file, "utf8")));
        output.write(`${file}: settings of gateway ${settings.process} in ${settings.dataCentre}: ok\n`);
        return exitCodes.done;
    }
    catch (error) {
        output.writeError(`check gateway: ${file}: ${error instanceof Error ? error.message : String(error)}\n`);
        return exitCodes.usage;
    }
}
