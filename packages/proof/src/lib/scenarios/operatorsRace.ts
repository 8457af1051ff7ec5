import { setTimeout as pause } from "node:timers/promises";
import { z } from "zod";
import { operatorToken } from "../site/settingsFiles.js";
import { type Site } from "../site/Site.js";
import { organisation } from "../site/siteModel.js";
import { type Scenario } from "./Scenario.js";

const authorization = `Bearer ${operatorToken}`;
const rounds = 20;
const statusOk = 200;
const statusConflict = 409;
/** Milliseconds within which an accepted change must be in force on every entry. */
const propagationTimeout = 4000;
/** Milliseconds between two rounds. */
const raceInterval = 200;
const resourceSchema = z.object({ resourceVersion: z.number().int(), spec: z.object({ share: z.number() }) });

type ReadResource = z.infer<typeof resourceSchema>;

function urlAt(site: Site, name: string): string {
    const { host, operatorsPort } = site.daemon(name);
    return `http://${host}:${operatorsPort}/v1/resources/organisation/${organisation}`;
}

async function read(site: Site, name: string): Promise<ReadResource> {
    const response = await fetch(urlAt(site, name), { headers: { authorization } });
    return resourceSchema.parse(await response.json());
}

async function write(site: Site, name: string, version: number, share: number): Promise<number> {
    const response = await fetch(urlAt(site, name), {
        method: "PUT",
        headers: { authorization, "if-match": `"${version}"`, "content-type": "application/json" },
        body: JSON.stringify({ spec: { share } }),
    });
    await response.arrayBuffer();
    return response.status;
}

/** In each round two operators concurrently write the same resource from the same version. */
export const operatorsRace: Scenario = {
    name: "operators-race",
    row: "two operators race",
    summary: "20 times two operators at two entries concurrently change one resource from the same version",
    async run({ site, markFault, check }) {
        markFault();
        let version = (await read(site, "entry-1")).resourceVersion;
        let won = 0;
        let last = 0;
        const unexpected: string[] = [];
        for (let round = 1; round <= rounds; round++) {
            const shares = [round * 2, round * 2 + 1] as const;
            const statuses = await Promise.all([
                write(site, "entry-1", version, shares[0]),
                write(site, "entry-2", version, shares[1]),
            ]);
            const winners = shares.filter((_, index) => statuses[index] === statusOk);
            const [winner] = winners;
            if (winners.length === 1 && winner !== undefined && statuses.includes(statusConflict)) {
                won++;
                last = winner;
            }
            else {
                unexpected.push(`round ${round}: ${statuses.join(" and ")}`);
            }
            version = await waitForNextVersion(site, version);
            await pause(raceInterval);
        }
        await pause(propagationTimeout);
        const entries = site.layout.daemons.filter(({ role }) => role === "entry");
        const states = await Promise.all(entries.map(({ name }) => read(site, name)));
        const agreed = states.filter(({ spec }) => spec.share === last).length;
        check({
            name: "exactly one of two operators wins",
            holds: won === rounds,
            detail: `${won} of ${rounds} rounds; ${unexpected.join("; ")}`,
        });
        check({
            name: "the last change is in force on every entry",
            holds: agreed === states.length,
            detail: `${agreed} of ${states.length}`,
        });
    },
};

/** Waits until entry-1 returns a newer version; returns the old one if that does not happen in time. */
async function waitForNextVersion(site: Site, version: number): Promise<number> {
    for (let waited = 0; waited < propagationTimeout; waited += raceInterval / 4) {
        const { resourceVersion } = await read(site, "entry-1");
        if (resourceVersion > version) {
            return resourceVersion;
        }
        await pause(raceInterval / 4);
    }
    return version;
}
