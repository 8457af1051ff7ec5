import { EngineServer, FakeEngine } from "@waxwingspar/engine";
import {
    MemoryLiveList,
    MemoryObjectStore,
    MemoryTableStore,
    MemoryWeightStore,
    PlatformServer,
} from "@waxwingspar/stores";
import { type Clock, type Outcome, seededRandom, SystemClock } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { loadSettings, type Settings } from "../settings/loadSettings.js";
import { seedResources } from "../site/seedResources.js";
import { type CommandOutput } from "./CommandOutput.js";
import { exitCodes } from "./exitCodes.js";
import { describeFailure, runUntilSignal, type Stoppable } from "./runUntilSignal.js";

const seed = 1;

/**
 * Serves in-memory stand-ins for the platform's services over HTTP until SIGTERM or SIGINT.
 *
 * @returns The exit code.
 * @internal
 */
export async function platformCommand(file: string, output: CommandOutput): Promise<number> {
    const settings = await loadSettings(file, "platform");
    if (settings.isErr) {
        output.writeError(describeFailure("platform", settings.error));
        return exitCodes.usage;
    }
    const running = await startPlatform(settings.value, output);
    if (running.isErr) {
        output.writeError(describeFailure("platform", running.error));
        return exitCodes.failed;
    }
    return runUntilSignal(running.value);
}

async function startPlatform(settings: Settings<"platform">, output: CommandOutput): Promise<Outcome<Stoppable>> {
    const clock = new SystemClock();
    const table = new MemoryTableStore({ clock });
    const seeded = await seedResources(settings.resources, table, clock);
    if (seeded.isErr) {
        return Result.err(seeded.error);
    }
    const server = new PlatformServer({
        table,
        objects: new MemoryObjectStore({ clock }),
        live: createLiveList(settings, clock),
        weights: new MemoryWeightStore({ clock, layerSize: () => settings.layerBytes, rate: settings.weightRate }),
    });
    const origin = await server.listen(settings.port);
    output.write(`platform: stand-ins at ${origin}, ${settings.resources.length} resources\n`);
    return Result.ok({ stop: () => server.close().then(() => 0) });
}

function createLiveList(settings: Settings<"platform">, clock: Clock): MemoryLiveList {
    const live = new MemoryLiveList({ clock });
    settings.hosts.forEach(host => live.set(host));
    live.lag = settings.listLag;
    return live;
}

/**
 * Serves a fake engine over HTTP until SIGTERM or SIGINT.
 *
 * @returns The exit code.
 * @internal
 */
export async function engineCommand(file: string, output: CommandOutput): Promise<number> {
    const settings = await loadSettings(file, "engine");
    if (settings.isErr) {
        output.writeError(describeFailure("engine", settings.error));
        return exitCodes.usage;
    }
    const { listen, held, slots, stepTime, checksFence } = settings.value;
    const clock = new SystemClock();
    const engine = new FakeEngine({ clock, random: seededRandom(seed), held, slots, stepTime, checksFence });
    const server = new EngineServer({ engine });
    const port = await server.listen(listen.port, listen.host);
    output.write(`engine: fake engine at http://${listen.host}:${port}\n`);
    return runUntilSignal({ stop: () => server.stop().then(() => 0) });
}
