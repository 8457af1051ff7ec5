import { findPorts } from "./ports.js";
import { serviceName } from "./ServiceStandIn.js";
import { organisation, siteModel, stages } from "./siteModel.js";

/** A daemon of the site and its addresses. @internal */
export interface PlannedDaemon {
    readonly name: string;
    readonly role: "entry" | "agent";
    readonly dataCentre: string;
    readonly region: string;
    /** The loopback address of this daemon alone, to which all ports below belong. */
    readonly host: string;
    /** The port on which the daemon listens for links. */
    readonly linkPort: number;
    /** The port of the relay in front of the daemon, to which other processes connect. */
    readonly relayPort: number;
    readonly operatorsPort: number;
    /** Entries only. */
    readonly callersPort: number;
    /** The port of the engine; agents only. */
    readonly enginePort: number;
    /** The index of the stage that the engine holds; undefined for entries and for agents of a plain service. */
    readonly stage?: number;
    /** The port of the plain service; agents of a plain service only. */
    readonly servicePort: number;
}

/** A process that competes for the control duty of its data centre. @internal */
export interface PlannedHolder {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
}

/** @internal */
export interface Layout {
    readonly holders: readonly PlannedHolder[];
    readonly daemons: readonly PlannedDaemon[];
    readonly platformPort: number;
    /** The port of the relay through which the daemons of each region connect to the platform, by region. */
    readonly platformPorts: Readonly<Record<string, number>>;
}

/** The size of a site. @internal */
export interface LayoutOptions {
    /** The data centres, each with one entry and the given number of pipelines. */
    readonly centres: readonly { readonly name: string; readonly region: string; readonly pipelines: number; }[];
    /** The data centres that have a target of the plain service. */
    readonly serviceCentres: readonly string[];
}

/** Three data centres, three entries, four pipelines of three stages, two targets of a plain service. @internal */
export const fullSite: LayoutOptions = {
    centres: [
        { name: "dc1", region: "north", pipelines: 1 },
        { name: "dc2", region: "north", pipelines: 1 },
        { name: "dc3", region: "south", pipelines: 2 },
    ],
    serviceCentres: ["dc1", "dc3"],
};

/** Two data centres, two entries, two pipelines, two targets of a plain service: for CI. @internal */
export const smallSite: LayoutOptions = {
    centres: [
        { name: "dc1", region: "north", pipelines: 1 },
        { name: "dc2", region: "north", pipelines: 1 },
    ],
    serviceCentres: ["dc1", "dc2"],
};

const portsPerDaemon = 6;

/** Derived from the process id, so that concurrent runs rarely share a network. */
const network = `127.0.${1 + process.pid % 250}`;

/** The address on which the platform's stand-ins listen. @internal */
export const platformHost = "127.0.0.1";

/** Plans a site on free ports. @internal */
export async function planSite({ centres, serviceCentres }: LayoutOptions): Promise<Layout> {
    const entries = centres.map(({ name }, index) => ({
        name: `entry-${index + 1}`,
        role: "entry" as const,
        centre: name,
    }));
    const pipelines = centres.flatMap(({ name, pipelines }) => Array.from({ length: pipelines }, () => name));
    const agents = pipelines.flatMap((centre, pipeline) =>
        stages.map((_, stage) => ({
            name: `stage-${stage + 1}-${pipeline + 1}`,
            role: "agent" as const,
            centre,
            stage,
        }))
    );
    const services = serviceCentres.map((centre, index) => ({
        name: `${serviceName}-${index + 1}`,
        role: "agent" as const,
        centre,
    }));
    const planned = [...entries, ...agents, ...services];
    const regions = [...new Set(centres.map(({ region }) => region))];
    const daemons = await Promise.all(planned.map(async ({ centre, ...daemon }, index): Promise<PlannedDaemon> => {
        const host = `${network}.${index + 1}`;
        const [linkPort = 0, relayPort = 0, operatorsPort = 0, callersPort = 0, enginePort = 0, servicePort = 0] =
            await findPorts(host, portsPerDaemon);
        const region = centres.find(({ name }) => name === centre)?.region ?? "";
        const ports = { linkPort, relayPort, operatorsPort, callersPort, enginePort, servicePort };
        return { ...daemon, dataCentre: centre, region, host, ...ports };
    }));
    const [platformPort = 0, ...others] = await findPorts(platformHost, 1 + regions.length);
    const platformPorts = Object.fromEntries(regions.map((region, index) => [region, others[index] ?? 0]));
    const holders = centres.flatMap(({ name, region }) =>
        [1, 2].map(number => ({ name: `holder-${name}-${number}`, dataCentre: name, region }))
    );
    return { daemons, holders, platformPort, platformPorts };
}

/** Returns the resources of the site in the form in which operators write them. @internal */
export function resourcesOf({ daemons }: Layout): object[] {
    const { model, version, layers } = siteModel;
    const targets = daemons.filter(({ role }) => role === "agent");
    return [
        { kind: "organisation", name: organisation, spec: {} },
        { kind: "model", name: model, spec: { layers, versions: [version], current: version } },
        {
            kind: "service",
            name: serviceName,
            spec: { nonIdempotent: [{ method: "POST", path: "/work-orders" }] },
        },
        ...targets.map(({ name, host, relayPort, dataCentre, region, stage }) => ({
            kind: "target",
            name,
            spec: {
                host,
                port: relayPort,
                dataCentre,
                region,
                checksFence: true,
                ...(stage === undefined
                    ? { service: serviceName }
                    : { holds: [{ model, version, ...stages[stage] }] }),
            },
        })),
    ];
}
