import { readFile, writeFile } from "node:fs/promises";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { z } from "zod";
import { staleFenceLine } from "../holder/runHolder.js";
import { type FaultPolicy, type LinkFault, Relay } from "../relay/Relay.js";
import { type Layout, type PlannedDaemon, type PlannedHolder, platformHost } from "./layout.js";
import {
    daemonSettings,
    engineSettings,
    holderSettings,
    liveHost,
    platformSettings,
    serviceSettings,
} from "./settingsFiles.js";
import { SiteProcess } from "./SiteProcess.js";

const distFolder = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
const cliScript = join(dirname(createRequire(import.meta.url).resolve("waxwingspar")), "bin.js");
/** Milliseconds. */
const stopLimit = 60_000;
/** Milliseconds. */
const holderPollInterval = 50;
const noFault: LinkFault = {};
const leaseAnswerSchema = z.object({ value: z.object({ value: z.object({ holder: z.string() }) }) });

/**
 * A site of real processes on loopback: platform, engines, plain services, agents and entries, with a relay in front of
 * the platform and of every daemon.
 *
 * @internal
 */
export class Site {
    readonly historyFiles: string[] = [];
    /** Daemons that did not exit with code 0 in time after SIGTERM, each with its exit code or signal. */
    readonly failedStops: string[] = [];
    /** Decides the fault of each link; undefined means none. */
    linkFault: FaultPolicy = () => undefined;
    private readonly processes = new Map<string, SiteProcess>();
    private readonly relays: Relay[] = [];
    private starts = 0;

    constructor(readonly layout: Layout, private readonly folder: string) {}

    /** Starts everything and waits until it is ready. */
    async start(): Promise<void> {
        const { daemons } = this.layout;
        await this.startPlatform();
        await this.startRelays();
        const helpers = daemons.filter(({ role }) => role === "agent").flatMap(daemon => [
            this.startEngine(daemon),
            ...(daemon.stage === undefined ? [this.startService(daemon)] : []),
        ]);
        await Promise.all([...helpers, ...this.layout.holders.map(holder => this.startHolder(holder))]);
        await this.waitForHolders();
        await Promise.all(daemons.map(({ name }) => this.startDaemon(name)));
    }

    /** Stops gracefully the entries, then the agents, then all other processes; kills any that remain. */
    async stop(): Promise<void> {
        for (const role of ["entry", "agent"]) {
            const names = this.layout.daemons.filter(daemon => daemon.role === role).map(({ name }) => name);
            await Promise.all(names.filter(name => this.running(name)).map(name => this.terminate(name)));
        }
        const remaining = [...this.processes.values()].filter(({ running }) => running);
        remaining.forEach(process => process.signal("SIGTERM"));
        await Promise.all(remaining.map(process => process.waitForEnd(stopLimit)));
        await this.destroy();
    }

    /** Kills every process. */
    async destroy(): Promise<void> {
        await Promise.all([...this.processes.values()].map(process => process.kill()));
        this.relays.forEach(relay => relay.close());
    }

    daemon(name: string): PlannedDaemon {
        const found = this.layout.daemons.find(daemon => daemon.name === name);
        if (found === undefined) {
            throw new Error(`no daemon ${name}`);
        }
        return found;
    }

    running(name: string): boolean {
        return this.processes.get(name)?.running === true;
    }

    /** Starts a daemon at its address, as a new incarnation. Resolves once it is ready. */
    async startDaemon(name: string): Promise<void> {
        const daemon = this.daemon(name);
        const start = ++this.starts;
        const history = join(this.folder, `${name}-${start}.jsonl`);
        this.historyFiles.push(history);
        const settings = await this.writeSettings(`${name}-${start}`, daemonSettings(daemon, this.layout, history));
        const port = daemon.role === "entry" ? daemon.callersPort : daemon.operatorsPort;
        await this.launch(name, [cliScript, daemon.role, settings], `http://${daemon.host}:${port}/readyz`);
    }

    /** Starts the engine beside an agent. */
    async startEngine(daemon: PlannedDaemon): Promise<void> {
        const name = `engine-${daemon.name}`;
        const settings = await this.writeSettings(name, engineSettings(daemon));
        await this.launch(name, [cliScript, "engine", settings], `http://${daemon.host}:${daemon.enginePort}/`);
    }

    /** Kills a process with SIGKILL. */
    async kill(name: string): Promise<void> {
        await this.processes.get(name)?.kill();
    }

    /** Kills an agent together with its engine, as a failure of their host does. */
    async killHost(name: string): Promise<void> {
        await Promise.all([this.kill(name), this.kill(`engine-${name}`)]);
    }

    /** Stops a daemon gracefully and waits until it has exited. */
    async terminate(name: string): Promise<void> {
        const process = this.processes.get(name);
        process?.signal("SIGTERM");
        const hasEnded = await process?.waitForEnd(stopLimit);
        if (process !== undefined && (hasEnded !== true || process.end !== "0")) {
            this.failedStops.push(`${name}: ${process.end ?? "still running"}`);
        }
    }

    pause(name: string): void {
        this.processes.get(name)?.signal("SIGSTOP");
    }

    resume(name: string): void {
        this.processes.get(name)?.signal("SIGCONT");
    }

    /** Returns the HTTP origins of the entries. */
    origins(): string[] {
        const entries = this.layout.daemons.filter(({ role }) => role === "entry");
        return entries.map(({ host, callersPort }) => `http://${host}:${callersPort}`);
    }

    /** Reads the revision in force on the first daemon. */
    async revision(): Promise<number> {
        const [first] = this.layout.daemons;
        const response = await fetch(`http://${first?.host}:${first?.operatorsPort}/readyz`);
        const { revision } = await response.json() as { revision: number; };
        return revision;
    }

    /** Sets the state of a daemon in the platform's live list; undefined removes the daemon. */
    async list(name: string, state: "live" | "leaving" | undefined): Promise<void> {
        await (state === undefined
            ? this.callAdmin("/admin/hosts/remove", { process: name })
            : this.callAdmin("/admin/hosts/set", liveHost(this.daemon(name), state)));
    }

    /** Counts the orders that targets rejected because of a stale fencing token, from the logs of the holders. */
    async countStaleOrders(): Promise<number> {
        const logs = await Promise.all(
            this.layout.holders.map(({ name }) => readFile(join(this.folder, `${name}.log`), "utf8")),
        );
        return logs.join("").split(staleFenceLine).length - 1;
    }

    /** Returns the process that last acquired the lease of the orders duty of a data centre. */
    async findDutyHolder(dataCentre: string): Promise<string | undefined> {
        const answer = await this.callAdmin("/table/get", { key: `lease/orders/${dataCentre}` });
        return leaseAnswerSchema.safeParse(answer).data?.value.value.holder;
    }

    /** Sets faults of the table service. */
    async setStoreFaults(faults: object): Promise<void> {
        await this.callAdmin("/admin/faults", { service: "table", faults });
    }

    /** Saves a copy of the table service, or restores the last one. */
    async manageStoreCopy(action: "save" | "use"): Promise<void> {
        await this.callAdmin("/admin/table/copy", { action });
    }

    private async callAdmin(path: string, body: object): Promise<unknown> {
        const url = `http://${platformHost}:${this.layout.platformPort}${path}`;
        const response = await fetch(url, { method: "POST", body: JSON.stringify(body) });
        const text = await response.text();
        if (!response.ok) {
            throw new Error(`${path}: status ${response.status}`);
        }
        return JSON.parse(text);
    }

    private async startPlatform(): Promise<void> {
        const settings = await this.writeSettings("platform", platformSettings(this.layout, this.folder));
        this.historyFiles.push(join(this.folder, "platform.jsonl"));
        const url = `http://${platformHost}:${this.layout.platformPort}/`;
        await this.launch("platform", [join(distFolder, "platform.js"), settings], url);
    }

    private async startHolder(holder: PlannedHolder): Promise<void> {
        const { name } = holder;
        const settings = await this.writeSettings(name, holderSettings(holder, this.layout, this.folder));
        this.historyFiles.push(join(this.folder, `${name}.jsonl`));
        await this.launch(name, [join(distFolder, "holder.js"), settings]);
    }

    /** Waits until the holders have acquired the duties, before any daemon runs that could acquire them. */
    private async waitForHolders(): Promise<void> {
        const centres = new Set(this.layout.holders.map(({ dataCentre }) => dataCentre));
        for (const centre of centres) {
            const deadline = performance.now() + stopLimit;
            while (await this.findDutyHolder(centre) === undefined) {
                if (performance.now() > deadline) {
                    throw new Error(`no holder acquired the orders duty of ${centre} within ${stopLimit} ms`);
                }
                await pause(holderPollInterval);
            }
        }
    }

    private async startService(daemon: PlannedDaemon): Promise<void> {
        const name = `service-${daemon.name}`;
        const settings = await this.writeSettings(name, serviceSettings(daemon, this.folder));
        this.historyFiles.push(join(this.folder, `${name}.jsonl`));
        await this.launch(
            name,
            [join(distFolder, "service.js"), settings],
            `http://${daemon.host}:${daemon.servicePort}/`,
        );
    }

    private async startRelays(): Promise<void> {
        const { daemons, platformPort, platformPorts } = this.layout;
        const names = [...daemons, ...this.layout.holders].map(({ name }) => name);
        const policy: FaultPolicy = (from, to) => this.linkFault(from, to) ?? noFault;
        for (const { name, host, relayPort, linkPort } of daemons) {
            this.relays.push(new Relay({ process: name, host, port: relayPort, targetPort: linkPort, names, policy }));
        }
        for (const [region, port] of Object.entries(platformPorts)) {
            const opener = `region ${region}`;
            const place = { process: "platform", host: platformHost, port, targetPort: platformPort };
            this.relays.push(new Relay({ ...place, names, policy, opener }));
        }
        await Promise.all(this.relays.map(relay => relay.listen()));
    }

    private async launch(name: string, command: readonly string[], readyUrl?: string): Promise<void> {
        const process = new SiteProcess({ name, command, readyUrl, log: join(this.folder, `${name}.log`) });
        this.processes.set(name, process);
        await process.ready();
    }

    private async writeSettings(name: string, settings: object): Promise<string> {
        const path = join(this.folder, `${name}.settings.json`);
        await writeFile(path, JSON.stringify(settings, undefined, 4));
        return path;
    }
}
