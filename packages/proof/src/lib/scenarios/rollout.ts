import { setTimeout as pause } from "node:timers/promises";
import { z } from "zod";
import { operatorToken } from "../site/settingsFiles.js";
import { type Site } from "../site/Site.js";
import { RolloutCallers, rolloutModel } from "./rolloutCallers.js";
import { type Scenario } from "./Scenario.js";

const authorization = `Bearer ${operatorToken}`;
const dataCentre = "dc3";
const replicas = 2;
/**
 * Bytes per layer. A target has memory for half of the layers in two versions, so that no pipeline has to be removed
 * before the new version is loaded.
 */
const layerBytes = 6_600_000_000;
/** Milliseconds. */
const rolloutTimeout = 60_000;
/** The minimum rate of completed requests during the rollout, as a fraction of the rate before it. */
const minRateShare = 0.9;
/** Milliseconds. */
const pollInterval = 100;
/** Milliseconds of requests before the rollout starts and after it has ended. */
const steadyTime = 10_000;

const targetSchema = z.object({ resourceVersion: z.number(), spec: z.record(z.string(), z.unknown()) });
const placementsSchema = z.object({
    items: z.array(z.object({ spec: z.object({ model: z.string(), version: z.string(), ready: z.boolean() }) })),
});

type Placement = z.infer<typeof placementsSchema>["items"][number]["spec"];

async function call(site: Site, path: string, method = "GET", spec?: object, version?: number): Promise<unknown> {
    const { host, operatorsPort } = site.daemon("entry-1");
    const response = await fetch(`http://${host}:${operatorsPort}/v1/resources/${path}`, {
        method,
        headers: {
            authorization,
            "content-type": "application/json",
            ...(version === undefined ? {} : { "if-match": `"${version}"` }),
        },
        body: spec === undefined ? undefined : JSON.stringify({ spec }),
    });
    const text = await response.text();
    if (!response.ok) {
        throw new Error(`${method} ${path}: ${response.status} ${text}`);
    }
    return JSON.parse(text);
}

async function setModel(site: Site, current: string): Promise<void> {
    const { model, layers, versions } = rolloutModel;
    const known = current === versions[0] ? undefined : targetSchema.parse(await call(site, `model/${model}`));
    const spec = { layers, versions, current, replicas, layerBytes };
    await call(site, `model/${model}`, "PUT", spec, known?.resourceVersion);
}

/** Removes the fixed layers of the targets of the data centre, so that placement decides what they hold. */
async function removePins(site: Site): Promise<void> {
    const targets = site.layout.daemons.filter(one => one.dataCentre === dataCentre && one.stage !== undefined);
    for (const { name } of targets) {
        const { spec, resourceVersion } = targetSchema.parse(await call(site, `target/${name}`));
        await call(site, `target/${name}`, "PUT", { ...spec, holds: [] }, resourceVersion);
    }
}

async function until(site: Site, holds: (placements: readonly Placement[]) => boolean): Promise<void> {
    for (let waited = 0; waited < rolloutTimeout; waited += pollInterval) {
        const { items } = placementsSchema.parse(await call(site, "placement"));
        if (holds(items.map(({ spec }) => spec).filter(({ model }) => model === rolloutModel.model))) {
            return;
        }
        await pause(pollInterval);
    }
    throw new Error(`placements did not reach the expected state within ${rolloutTimeout} ms`);
}

const countReady = (placements: readonly Placement[], version: string): number =>
    placements.filter(placement => placement.version === version && placement.ready).length;

const isOnlyVersion = (version: string) => (placements: readonly Placement[]): boolean =>
    placements.length === replicas && countReady(placements, version) === replicas;

/** Rolls out a new version of a placed model on real processes, under requests at a fixed rate. */
export const rollout: Scenario = {
    name: "rollout",
    row: "none: a planned change",
    summary: "a model of two placed pipelines goes from v1 to v2 under 12 requests a second",
    async run({ site, clock, markFault, check }) {
        // The competing lease holders of the site would send orders of their own, which are no part of this scenario.
        const competingHolders = site.layout.holders.filter(holder => holder.dataCentre === dataCentre);
        await Promise.all(competingHolders.map(({ name }) => site.kill(name)));
        await setModel(site, "v1");
        await removePins(site);
        await until(site, isOnlyVersion("v1"));
        const callers = new RolloutCallers(clock, site.origins());
        callers.start();
        await pause(steadyTime);
        markFault();
        const begun = clock.now();
        await setModel(site, "v2");
        await until(site, placements => countReady(placements, "v2") > 0);
        const first = clock.now();
        await until(site, isOnlyVersion("v2"));
        const completedAt = clock.now();
        await pause(steadyTime);
        const end = clock.now();
        await callers.finish();
        const failed = callers.answers.filter(({ version }) => version === undefined);
        const late = callers.answers.filter(({ sentAt, version }) => sentAt > completedAt + 2000 && version !== "v2");
        check({
            name: "every answer is complete and of exactly one version",
            holds: failed.length === 0 && callers.answers.length > 0,
            detail: `${callers.answers.length - failed.length} of ${callers.answers.length}; codes ${
                failed.map(({ code }) => code).join(" ")
            }`,
        });
        check({
            name: "after the rollout only v2 answers",
            holds: late.length === 0,
            detail: `${late.length} other answers`,
        });
        const spans = [[begun - steadyTime + 2000, begun], [begun, completedAt], [
            completedAt,
            end,
        ]] as const;
        const [before = [], during = [], after = []] = spans.map(([from, to]) => callers.completedBySecond(from, to));
        const times = `first pipeline of v2 after ${seconds(first - begun)}, only v2 after ${
            seconds(completedAt - begun)
        }`;
        check({
            name: "the rate of completed requests is kept while the version changes:",
            holds: mean(during) >= minRateShare * mean(before),
            detail: `before ${describe(before)}; during ${describe(during)}; after ${describe(after)}; ${times}`,
        });
    },
};

function describe(counts: readonly number[]): string {
    return `mean ${mean(counts).toFixed(1)}, minimum ${Math.min(...counts)} in ${counts.length} s`;
}

function mean(counts: readonly number[]): number {
    return counts.reduce((all, count) => all + count, 0) / counts.length;
}

function seconds(duration: number): string {
    return `${(duration / 1000).toFixed(1)} s`;
}
