import assert from "node:assert/strict";
import { test } from "node:test";
import { incarnationOf } from "../directory/Target.js";
import { type RestoringGateway, RestoringSite } from "../testing/RestoringSite.js";

/**
 * The store comes back from copies of itself, in series, while everything else goes on: what it had acknowledged since a copy is gone
 * until its writers write it again, and versions are given out twice.
 */

const seeds = [1, 2, 3, 4, 5, 6, 7, 8];
/** Milliseconds after its taking away in which a key may work. */
const keyRevocation = 5_000;
/** Milliseconds after the last trouble in which all gateways must know everything. */
const settleTime = 8_000;

const route = { isPublic: false } as Parameters<RestoringGateway["configuration"]["judgeCredential"]>[0];

/** The oldest version whose key may still work. */
function oldestKey({ acknowledged, group }: RestoringSite): number {
    const bound = group.clock.now() - keyRevocation;
    return acknowledged.findLast(({ at }) => at <= bound)?.version ?? 0;
}

/** Lets things happen for 30 s, and then nothing for as long as it takes to settle. */
async function play(site: RestoringSite, check: () => void): Promise<void> {
    await site.group.runAsync(4_000, check);
    for (let time = 0; time < 30_000; time += 600) {
        site.disturb();
        await site.group.runAsync(600, check);
    }
    await site.group.runAsync(4_000 + settleTime, check);
}

for (const seed of seeds) {
    test(`seed ${seed}: nothing goes back, keys stay taken away, and all is known in the end`, async () => {
        const site = new RestoringSite({ seed });
        const versions = new Map<RestoringGateway, number>();
        const terms = new Map<RestoringGateway, number>();
        await play(site, () => {
            const oldest = oldestKey(site);
            for (const gateway of site.gateways) {
                const { configuration, directory, lease, gone } = gateway;
                const version = configuration.current?.version ?? 0;
                assert.ok(version >= (versions.get(gateway) ?? 0), `configuration ${version}`);
                versions.set(gateway, version);
                const accepted = configuration.judgeCredential(route, `key-${version}`).kind === "accepted";
                assert.ok(!accepted || version >= oldest, `key of ${version}, which ${oldest} took away`);
                const back = directory.readyTargets("s").filter(target => gone.has(incarnationOf(target)));
                assert.deepEqual(back.filter(({ id, startedAt }) => site.living.get(id)?.startedAt !== startedAt), []);
                const term = lease.isHeld ? lease.term ?? 0 : 0;
                assert.ok(term === 0 || term >= (terms.get(gateway) ?? 0), `term ${term}`);
                terms.set(gateway, Math.max(term, terms.get(gateway) ?? 0));
            }
        });
        for (const { configuration, directory } of site.gateways) {
            assert.equal(configuration.current?.version, site.newestVersion);
            const known = directory.list().map(incarnationOf).sort();
            const living = [...site.living.values()].map(incarnationOf).sort();
            assert.deepEqual(known, living);
        }
        const holders = site.gateways.filter(({ lease }) => lease.isHeld);
        assert.equal(holders.length, 1);
    });
}

test("a target that lives stays in use while its entry is missing", async () => {
    const site = new RestoringSite({ seed: 1 });
    await site.group.runAsync(4_000);
    site.drill();
    await site.group.runAsync(10_000, () => {
        for (const { directory } of site.gateways) {
            assert.equal(directory.readyTargets("s").length, site.living.size);
        }
    });
});

test("20 gateways: calls in the ten seconds after the store came back stay below twice those of a start", async () => {
    const site = new RestoringSite({ seed: 1, dataCentres: 4, gatewaysEach: 5 });
    await site.group.runAsync(10_000);
    const start = site.calls;
    await site.group.runAsync(10_000);
    const before = site.calls;
    site.drill();
    await site.group.runAsync(10_000);
    const after = site.calls - before;
    assert.ok(after < 2 * start, `${after} calls, ${start} at the start`);
});

/** Gateways that know the newest configuration, of those that live. */
function upToDate({ gateways, newestVersion }: RestoringSite): readonly [number, number] {
    const living = gateways.filter(({ group }) => !group.isDown);
    return [
        living.filter(({ configuration }) => configuration.current?.version === newestVersion).length,
        living.length,
    ];
}

test("all relays lost as the store comes back: the others learn of the copy and of what follows it", async () => {
    const site = new RestoringSite({ seed: 2, dataCentres: 4, gatewaysEach: 5 });
    await site.group.runAsync(6_000);
    site.changeConfiguration();
    site.drill();
    await site.group.runAsync(3_000);
    site.gateways.filter(({ group }) => group.exchange.isRelay).forEach(({ group }) => {
        group.isDown = true;
    });
    site.changeConfiguration();
    await site.group.runAsync(settleTime);
    const [known, living] = upToDate(site);
    assert.ok(living >= 8);
    assert.equal(known, living);
});

test("a relay that is cut off stays in the old era: who hears it as well follows the new one", async () => {
    const site = new RestoringSite({ seed: 3, dataCentres: 2, gatewaysEach: 6 });
    await site.group.runAsync(6_000);
    const relay = site.gateways.find(({ group }) => group.exchange.isRelay);
    assert.ok(relay !== undefined);
    relay.isCut = true;
    site.drill();
    await site.group.runAsync(6_000);
    site.changeConfiguration();
    await site.group.runAsync(4_000);
    const [known, living] = upToDate(site);
    assert.ok(known >= living - 1, `${known} of ${living}`);
    relay.isCut = false;
    await site.group.runAsync(settleTime);
    assert.deepEqual(upToDate(site), [living, living]);
});
