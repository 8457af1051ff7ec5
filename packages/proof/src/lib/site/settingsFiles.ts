import { createHash } from "node:crypto";
import { join } from "node:path";
import { type Layout, type PlannedDaemon, type PlannedHolder, platformHost, resourcesOf } from "./layout.js";
import { serviceName } from "./ServiceStandIn.js";
import { organisation, siteModel, stages } from "./siteModel.js";

/** The bearer token of the operators of the site. @internal */
export const operatorToken = "operator-of-the-proof";

/** Returns the settings of a daemon. @param file - The history file of the daemon. @internal */
export function daemonSettings(daemon: PlannedDaemon, layout: Layout, file: string): object {
    const { name, role, host, dataCentre, region } = daemon;
    const common = {
        role,
        name,
        dataCentre,
        region,
        links: { host, port: daemon.linkPort },
        operators: { host, port: daemon.operatorsPort },
        credentials: { insecure: true },
        platform: {
            origin: `http://${platformHost}:${layout.platformPorts[region]}`,
            readsPerSecond: 40,
            writesPerSecond: 20,
        },
        seeds: layout.daemons.filter(one => one.role === "entry" && one.name !== name)
            .map(one => ({ host: one.host, port: one.relayPort })),
        log: { level: "info" },
        history: { file },
    };
    return role === "entry"
        ? {
            ...common,
            callers: { host, port: daemon.callersPort },
            anonymousOrganisation: organisation,
            operatorTokenHash: createHash("sha256").update(operatorToken).digest("hex"),
            limits: { stopLead: 500 },
        }
        : { ...common, engine: { origin: `http://${host}:${daemon.enginePort}` }, slots: 32, ...serviceOf(daemon) };
}

function serviceOf({ host, stage, servicePort }: PlannedDaemon): object {
    return stage === undefined
        ? { service: { name: serviceName, baseUrl: `http://${host}:${servicePort}` } }
        : {};
}

/** Returns the settings of the fake engine of an agent. @internal */
export function engineSettings({ host, stage, enginePort }: PlannedDaemon): object {
    const { model, version } = siteModel;
    return {
        role: "engine",
        listen: { host, port: enginePort },
        held: stage === undefined ? [] : [{ model, version, ...stages[stage] }],
    };
}

/** Returns the settings of the platform's stand-ins. @internal */
export function platformSettings(layout: Layout, folder: string): object {
    return {
        port: layout.platformPort,
        hosts: layout.daemons.map(daemon => liveHost(daemon, "live")),
        resources: resourcesOf(layout),
        history: join(folder, "platform.jsonl"),
    };
}

/** Returns an item of the platform's live list. @internal */
export function liveHost(daemon: PlannedDaemon, state: "live" | "leaving"): object {
    const { name, role, host, relayPort, dataCentre, region } = daemon;
    return { process: name, role, host, port: relayPort, dataCentre, region, state };
}

/** Returns the settings of a process that competes for a control duty. @internal */
export function holderSettings({ name, dataCentre, region }: PlannedHolder, layout: Layout, folder: string): object {
    const targets = layout.daemons.filter(daemon => daemon.role === "agent" && daemon.dataCentre === dataCentre);
    return {
        name,
        dataCentre,
        holders: layout.holders.filter(holder => holder.dataCentre === dataCentre).map(holder => holder.name),
        targets: targets.map(target => ({ name: target.name, host: target.host, port: target.relayPort })),
        platform: `http://${platformHost}:${layout.platformPorts[region]}`,
        history: join(folder, `${name}.jsonl`),
    };
}

/** Returns the settings of the plain service of an agent. @internal */
export function serviceSettings({ name, host, servicePort }: PlannedDaemon, folder: string): object {
    return { name: `service-${name}`, host, port: servicePort, history: join(folder, `service-${name}.jsonl`) };
}
