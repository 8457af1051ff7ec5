import assert from "node:assert/strict";
import { test } from "node:test";
import { incarnationOf } from "../directory/Target.js";
import { type RestoredStoreGateway, RestoredStoreSite } from "../testing/RestoredStoreSite.js";

/**
 * The store is repeatedly restored from older copies of itself while the gateways keep running. Writes acknowledged
 * after a copy are lost until their writers repeat them, and versions are assigned twice.
 */

const seeds = [1, 2, 3, 4, 5, 6, 7, 8];
/** Milliseconds after its revocation within which a key may still be accepted. */
const keyRevocation = 5_000;
/** Milliseconds after the last disturbance within which all gateways must be up to date. */
const settleTime = 8_000;

const route = { isPublic: false } as Parameters<RestoredStoreGateway["configuration"]["judgeCredential"]>[0];

/** The oldest configuration version whose key may still be accepted. */
function oldestKey({ acknowledged, group }: RestoredStoreSite): number {
    const bound = group.clock.now() - keyRevocation;
    return acknowledged.findLast(({ at }) => at <= bound)?.version ?? 0;
}

/** Disturbs the site for 30 s, then lets it settle without further disturbance. */
async function runWithDisturbances(site: RestoredStoreSite, check: () => void): Promise<void> {
    await site.group.runAsync(4_000, check);
    for (let time = 0; time < 30_000; time += 600) {
        site.injectRandomEvent();
        await site.group.runAsync(600, check);
    }
    await site.group.runAsync(4_000 + settleTime, check);
}

for (const seed of seeds) {
    test(`seed ${seed}: no state goes back, keys stay revoked, and all gateways are up to date in the end`, async () => {
        const site = new RestoredStoreSite({ seed });
        const versions = new Map<RestoredStoreGateway, number>();
        const terms = new Map<RestoredStoreGateway, number>();
        await runWithDisturbances(site, () => {
            const oldest = oldestKey(site);
            for (const gateway of site.gateways) {
                const { configuration, directory, lease, removedIncarnations } = gateway;
                const version = configuration.current?.version ?? 0;
                assert.ok(version >= (versions.get(gateway) ?? 0), `configuration ${version}`);
                versions.set(gateway, version);
                const accepted = configuration.judgeCredential(route, `key-${version}`).kind === "accepted";
                assert.ok(!accepted || version >= oldest, `key of version ${version} accepted, revoked by ${oldest}`);
                const back = directory.readyTargets("s").filter(target =>
                    removedIncarnations.has(incarnationOf(target))
                );
                assert.deepEqual(
                    back.filter(({ id, startedAt }) => site.runningTargets.get(id)?.startedAt !== startedAt),
                    [],
                );
                const term = lease.isHeld ? lease.term ?? 0 : 0;
                assert.ok(term === 0 || term >= (terms.get(gateway) ?? 0), `term ${term}`);
                terms.set(gateway, Math.max(term, terms.get(gateway) ?? 0));
            }
        });
        for (const { configuration, directory } of site.gateways) {
            assert.equal(configuration.current?.version, site.newestVersion);
            const known = directory.list().map(incarnationOf).sort();
            const living = [...site.runningTargets.values()].map(incarnationOf).sort();
            assert.deepEqual(known, living);
        }
        const holders = site.gateways.filter(({ lease }) => lease.isHeld);
        assert.equal(holders.length, 1);
    });
}

test("a target that lives stays in use while its entry is missing", async () => {
    const site = new RestoredStoreSite({ seed: 1 });
    await site.group.runAsync(4_000);
    site.failAndRestore();
    await site.group.runAsync(10_000, () => {
        for (const { directory } of site.gateways) {
            assert.equal(directory.readyTargets("s").length, site.runningTargets.size);
        }
    });
});

test("20 gateways: calls in the ten seconds after a restore stay below twice the calls of a start", async () => {
    const site = new RestoredStoreSite({ seed: 1, dataCentres: 4, gatewaysEach: 5 });
    await site.group.runAsync(10_000);
    const start = site.calls;
    await site.group.runAsync(10_000);
    const before = site.calls;
    site.failAndRestore();
    await site.group.runAsync(10_000);
    const after = site.calls - before;
    assert.ok(after < 2 * start, `${after} calls, ${start} at the start`);
});

/** The numbers of running gateways that know the newest configuration, and of all running ones. */
function upToDate({ gateways, newestVersion }: RestoredStoreSite): readonly [number, number] {
    const living = gateways.filter(({ group }) => !group.isDown);
    return [
        living.filter(({ configuration }) => configuration.current?.version === newestVersion).length,
        living.length,
    ];
}

test("all relays lost as the store is restored: the others detect the restore and follow the changes after it", async () => {
    const site = new RestoredStoreSite({ seed: 2, dataCentres: 4, gatewaysEach: 5 });
    await site.group.runAsync(6_000);
    site.changeConfiguration();
    site.failAndRestore();
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

test("a relay that is cut off stays in the old era: gateways that receive its reports follow the new era", async () => {
    const site = new RestoredStoreSite({ seed: 3, dataCentres: 2, gatewaysEach: 6 });
    await site.group.runAsync(6_000);
    const relay = site.gateways.find(({ group }) => group.exchange.isRelay);
    assert.ok(relay !== undefined);
    relay.isCut = true;
    site.failAndRestore();
    await site.group.runAsync(6_000);
    site.changeConfiguration();
    await site.group.runAsync(4_000);
    const [known, living] = upToDate(site);
    assert.ok(known >= living - 1, `${known} of ${living}`);
    relay.isCut = false;
    await site.group.runAsync(settleTime);
    assert.deepEqual(upToDate(site), [living, living]);
});
