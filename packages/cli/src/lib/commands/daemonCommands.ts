import { type Outcome } from "@waxwingspar/utils";
import { AgentDaemon } from "../daemons/AgentDaemon.js";
import { DaemonBase } from "../daemons/DaemonBase.js";
import { EntryDaemon } from "../daemons/EntryDaemon.js";
import { loadSettings } from "../settings/loadSettings.js";
import { type CommandOutput } from "./CommandOutput.js";
import { exitCodes } from "./exitCodes.js";
import { describeFailure, runUntilSignal, type Stoppable } from "./runUntilSignal.js";

/**
 * Runs an entry until SIGTERM or SIGINT.
 *
 * @returns The exit code.
 * @internal
 */
export async function entryCommand(file: string, output: CommandOutput): Promise<number> {
    const settings = await loadSettings(file, "entry");
    if (settings.isErr) {
        output.writeError(describeFailure("entry", settings.error));
        return exitCodes.usage;
    }
    const base = await DaemonBase.create(settings.value);
    return runDaemon("entry", base.map(daemonBase => new EntryDaemon(daemonBase, settings.value)), output);
}

/**
 * Runs an agent until SIGTERM or SIGINT.
 *
 * @returns The exit code.
 * @internal
 */
export async function agentCommand(file: string, output: CommandOutput): Promise<number> {
    const settings = await loadSettings(file, "agent");
    if (settings.isErr) {
        output.writeError(describeFailure("agent", settings.error));
        return exitCodes.usage;
    }
    const base = await DaemonBase.create(settings.value);
    return runDaemon("agent", base.map(daemonBase => new AgentDaemon(daemonBase, settings.value)), output);
}

/** A daemon that has been created but not started. */
interface Daemon extends Stoppable {
    start(): Promise<Outcome<void>>;
}

async function runDaemon(name: string, daemon: Outcome<Daemon>, output: CommandOutput): Promise<number> {
    if (daemon.isErr) {
        output.writeError(describeFailure(name, daemon.error));
        return exitCodes.failed;
    }
    const started = await daemon.value.start();
    if (started.isErr) {
        output.writeError(describeFailure(name, started.error));
        await daemon.value.stop();
        return exitCodes.failed;
    }
    return runUntilSignal(daemon.value);
}
