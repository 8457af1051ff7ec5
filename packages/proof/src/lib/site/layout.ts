import { findPorts } from "./ports.js";
import { serviceName } from "./ServiceStandIn.js";
import { organisation, siteModel, stages } from "./siteModel.js";

/** A daemon of the site and where it listens. @internal */
export interface PlannedDaemon {
    readonly name: string;
    readonly role: "entry" | "agent";
    readonly dataCentre: string;
    readonly region: string;
    /** A loopback address of its own; every port below is on it. */
    readonly host: string;
    /** Where it listens for links. */
    readonly linkPort: number;
    /** Where others find it: the relay in front of it. */
    readonly relayPort: number;
    readonly operatorsPort: number;
    /** Entries only. */
    readonly callersPort: number;
    /** Agents only: the port of the engine, and the stage it holds; undefined beside a plain service. */
    readonly enginePort: number;
    readonly stage?: number;
    /** Agents beside a plain service only. */
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
    /** Where the daemons of each region reach the platform: a relay for each. */
    readonly platformPorts: Readonly<Record<string, number>>;
}

/** How large a site is. @internal */
export interface LayoutOptions {
    /** Data centre and region of each entry; each has that many pipelines. */
    readonly centres: readonly { readonly name: string; readonly region: string; readonly pipelines: number; }[];
    /** Data centres with a target of the plain service. */
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

/** Runs at the same time keep to networks of their own where they can. */
const network = `127.0.${1 + process.pid % 250}`;

/** The platform's stand-ins listen on no other address. @internal */
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

/** The resources of the site, as an operator would write them. @internal */
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
