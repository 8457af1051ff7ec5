import { join } from "node:path";
import { type Layout, type PlannedDaemon, resourcesOf } from "./layout.js";
import { serviceName } from "./ServiceStandIn.js";
import { organisation, siteModel, stages } from "./siteModel.js";

const loopback = "127.0.0.1";

/** The settings of a daemon. @param file - Its history file. @internal */
export function daemonSettings(daemon: PlannedDaemon, layout: Layout, file: string): object {
    const { name, role, dataCentre, region } = daemon;
    const common = {
        role,
        name,
        dataCentre,
        region,
        links: { host: loopback, port: daemon.linkPort },
        operators: { host: loopback, port: daemon.operatorsPort },
        credentials: { insecure: true },
        platform: {
            origin: `http://${loopback}:${layout.platformPorts[region]}`,
            readsPerSecond: 40,
            writesPerSecond: 20,
        },
        seeds: layout.daemons.filter(one => one.role === "entry" && one.name !== name)
            .map(({ relayPort }) => ({ host: loopback, port: relayPort })),
        log: { level: "info" },
        history: { file },
    };
    return role === "entry"
        ? {
            ...common,
            callers: { host: loopback, port: daemon.callersPort },
            anonymousOrganisation: organisation,
            limits: { stopLead: 500 },
        }
        : { ...common, engine: { origin: `http://${loopback}:${daemon.enginePort}` }, slots: 32, ...serviceOf(daemon) };
}

function serviceOf({ stage, servicePort }: PlannedDaemon): object {
    return stage === undefined
        ? { service: { name: serviceName, baseUrl: `http://${loopback}:${servicePort}` } }
        : {};
}

/** The settings of the fake engine beside an agent. @internal */
export function engineSettings({ stage, enginePort }: PlannedDaemon): object {
    const { model, version } = siteModel;
    return {
        role: "engine",
        listen: { host: loopback, port: enginePort },
        held: stage === undefined ? [] : [{ model, version, ...stages[stage] }],
    };
}

/** The settings of the platform's stand-ins. @internal */
export function platformSettings(layout: Layout): object {
    return {
        role: "platform",
        port: layout.platformPort,
        hosts: layout.daemons.map(daemon => liveHost(daemon, "live")),
        resources: resourcesOf(layout),
    };
}

/** A row of the platform's live list. @internal */
export function liveHost(daemon: PlannedDaemon, state: "live" | "leaving"): object {
    const { name, role, relayPort, dataCentre, region } = daemon;
    return { process: name, role, host: loopback, port: relayPort, dataCentre, region, state };
}

/** The settings of the stand-in of the plain service beside an agent. @internal */
export function serviceSettings({ name, servicePort }: PlannedDaemon, folder: string): object {
    return { name: `service-${name}`, port: servicePort, history: join(folder, `service-${name}.jsonl`) };
}
