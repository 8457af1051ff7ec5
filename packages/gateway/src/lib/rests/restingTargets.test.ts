import { seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { disturbRestingSite } from "../testing/disturbRestingSite.js";
import { RestingSite, type RestingSiteOptions } from "../testing/RestingSite.js";

const seeds = [1, 2, 3, 4];
/** Requests that may reach a target between half a second after its refusal and the end of the rest. */
const allowedInRest = 2;
const sizes: readonly RestingSiteOptions[] = [
    { dataCentres: 1, gatewaysEach: 1, load: 60 },
    { dataCentres: 3, gatewaysEach: 2, load: 120 },
    { dataCentres: 3, gatewaysEach: 8, load: 300 },
];

test("a target that asked for rest is sent nothing until it ends, whatever waited or overlaps", async () => {
    const broken: string[] = [];
    for (const size of sizes) {
        for (const seed of seeds) {
            const site = new RestingSite({ ...size, seed, plainTargets: 4, chains: 3, slowShare: 0.1 });
            disturbRestingSite(site, { random: seededRandom(seed), startsIn: 3_000 });
            await site.run(30_000);
            assert.ok(site.rests.length > 0);
            if (site.worstRest > allowedInRest) {
                broken.push(`${site.gateways.length} gateways, seed ${seed}: ${site.worstRest} arrivals in a rest`);
            }
        }
    }
    assert.deepEqual(broken, []);
});

test("while all targets rest, callers are refused at once with the time that is left", async () => {
    for (const seed of seeds) {
        const site = new RestingSite({ seed, plainTargets: 2, chains: 2, load: 60 });
        site.targets.forEach(target => target.rest = 3_000);
        site.after(6_000, () => site.targets.forEach(target => target.refusedShare = 1));
        site.after(14_000, () => site.targets.forEach(target => target.refusedShare = 0));
        await site.run(20_000);
        const early = site.refusals.filter(({ restLeft, retryAfter = 0 }) => retryAfter < restLeft - 1);
        assert.ok(site.refusals.length > 0);
        assert.equal(early.length, 0, `seed ${seed}: ${early.length} of ${site.refusals.length} may return too early`);
        assert.ok(site.refusals.every(({ after }) => after < 100), `seed ${seed}: a refusal was late`);
    }
});

test("a target that says it leaves is sent nothing new, though it is listed as ready, and its successor is", async () => {
    const broken: string[] = [];
    for (const seed of seeds) {
        const site = new RestingSite({ seed, plainTargets: 3, chains: 2, load: 80 });
        const leaving = [site.plain[0], site.heads[0]].flatMap(target => target ?? []);
        site.after(6_000, () => leaving.forEach(target => target.isLeaving = true));
        site.after(8_000, () => leaving.forEach(target => site.listAgain(target)));
        site.after(12_000, () => leaving.forEach(target => site.restartTarget(target)));
        await site.run(20_000);
        const successors = site.targets.filter(({ target }) => (target.startedAt ?? 0) > 0);
        const used = successors.filter(successor => site.arrivals.some(({ target }) => target === successor));
        if (site.sentToLeaving > 0 || used.length < leaving.length) {
            broken.push(`seed ${seed}: ${site.sentToLeaving} sent, ${used.length} of 2 successors used`);
        }
    }
    assert.deepEqual(broken, []);
});

test("while another target has room, no caller is refused", async () => {
    for (const seed of seeds) {
        const site = new RestingSite({ seed, plainTargets: 3, chains: 3, load: 80 });
        const resting = [site.plain[0], site.plain[1], site.heads[0], site.heads[1]].flatMap(target => target ?? []);
        resting.forEach(target => target.rest = 2_500);
        site.after(6_000, () => resting.forEach(target => target.refusedShare = 0.5));
        await site.run(25_000);
        assert.ok(site.rests.length > 0);
        assert.deepEqual(site.refusals, []);
        assert.equal(site.served, site.requests);
    }
});

test("24 gateways: what falls on a target at the end of its rest is about one request from each", async () => {
    const window = 100;
    for (const seed of seeds) {
        const site = new RestingSite({ seed, gatewaysEach: 8, plainTargets: 1, load: 400 });
        const [target] = site.plain;
        assert.ok(target !== undefined);
        target.rest = 3_000;
        site.after(6_000, () => target.refusedShare = 1);
        site.after(9_000, () => target.refusedShare = 0);
        await site.run(12_000);
        const ends = site.rests.map(({ until }) => until).sort((a, b) => a - b);
        const firstEnd = ends[0] ?? Infinity;
        const arrivals = site.arrivals.filter(({ at }) => at > firstEnd && at <= firstEnd + window).length;
        assert.ok(arrivals <= site.gateways.length, `seed ${seed}: ${arrivals} requests in ${window} ms`);
    }
});
