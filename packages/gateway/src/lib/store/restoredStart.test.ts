import assert from "node:assert/strict";
import { test } from "node:test";
import { incarnationOf } from "../directory/Target.js";
import { type RestoredStoreGateway, RestoredStoreSite } from "../testing/RestoredStoreSite.js";

/** Gateways start, or regain the store, while the store comes back from a copy in which a revoked key still is. */

const seeds = [1, 2, 3];
const rewriteTimes = [1_000, 2_000, 5_000];
/** Milliseconds after its revocation within which a key may still be accepted. */
const keyRevocation = 5_000;
/** Milliseconds after a copy within which every gateway serves again. */
const settleTime = 14_000;

const route = { isPublic: false } as Parameters<RestoredStoreGateway["configuration"]["judgeCredential"]>[0];

function accepts({ configuration }: RestoredStoreGateway, version: number): boolean {
    return configuration.judgeCredential(route, `key-${version}`).kind === "accepted";
}

function checkKeys({ gateways, acknowledged, group }: RestoredStoreSite): void {
    const bound = group.clock.now() - keyRevocation;
    const oldest = acknowledged.findLast(({ at }) => at <= bound)?.version ?? 0;
    for (const gateway of gateways) {
        for (let version = 1; version < oldest; version++) {
            assert.ok(
                !accepts(gateway, version),
                `${gateway.group.name} accepts the key that was revoked by ${oldest}`,
            );
        }
    }
}

interface Restore {
    readonly seed: number;
    readonly rewriteTime: number;
    /** The number of restores. */
    readonly restores?: number;
    /** Called when a revocation has been in force for 7 s. */
    readonly onLeave?: (site: RestoredStoreSite) => void;
    /** Called some times after the first return. */
    readonly onBack?: (site: RestoredStoreSite) => void;
    /** Called right before a revocation that the copy lacks. */
    readonly onCopy?: (site: RestoredStoreSite) => void;
}

/** Plays restores, and checks that revoked keys stay revoked and that the newest one is accepted in the end. */
async function playRestore({ seed, rewriteTime, restores = 1, onCopy, onLeave, onBack }: Restore): Promise<void> {
    const site = new RestoredStoreSite({ seed });
    const run = (duration: number) => site.group.runAsync(duration, () => checkKeys(site));
    await run(8_000);
    site.saveCopy();
    onCopy?.(site);
    await run(4_000);
    site.changeConfiguration();
    await run(7_000);
    for (let restore = 0; restore < restores; restore++) {
        site.leave();
        onLeave?.(site);
        await run(1_000);
        site.comeBack(() => rewriteTime);
        await run(100);
        for (let start = 0; start < 3; start++) {
            onBack?.(site);
            await run(400);
        }
    }
    await run(settleTime);
    assert.ok(site.gateways.every(gateway => accepts(gateway, site.newestVersion)));
}

for (const rewriteTime of rewriteTimes) {
    for (const seed of seeds) {
        const name = `rewrite after ${rewriteTime} ms, seed ${seed}`;
        test(`${name}: gateways that start after a restore accept no revoked key`, async () => {
            for (const restores of [1, 2]) {
                await playRestore({ seed, rewriteTime, restores, onBack: site => void site.startGateway(seed % 2) });
            }
        });

        test(`${name}: a gateway that starts after a restore and hears no peer accepts no revoked key`, async () => {
            const onBack = (site: RestoredStoreSite) => {
                const { group } = site.startGateway();
                const { isCut } = site.group;
                site.group.isCut = (from, to) => from === group || to === group || isCut(from, to);
            };
            await playRestore({ seed, rewriteTime, onBack });
        });

        test(`${name}: a gateway that was cut off at the revocation accepts no revoked key`, async () => {
            const cut = (site: RestoredStoreSite, isCut: boolean) =>
                site.gateways.slice(0, 1).forEach(gateway => {
                    gateway.isCut = isCut;
                    site.group.isCut = (from, to) => isCut && (from === gateway.group || to === gateway.group);
                });
            const onBack = (site: RestoredStoreSite) => cut(site, false);
            await playRestore({ seed, rewriteTime, onCopy: site => cut(site, true), onBack });
        });
    }
}

test("all gateways start at once after a restore: they serve within 5.2 s of their start", async () => {
    const site = new RestoredStoreSite({ seed: 1 });
    await site.group.runAsync(8_000);
    site.saveCopy();
    site.leave();
    [...site.gateways].forEach(gateway => site.kill(gateway));
    await site.group.runAsync(1_000);
    site.comeBack();
    const started = [0, 1, 0, 1].map(dataCentre => site.startGateway(dataCentre));
    await site.group.runAsync(5_200);
    assert.ok(started.every(gateway => accepts(gateway, site.newestVersion)));
});

for (const seed of seeds) {
    test(`seed ${seed}: a gateway that starts without a restore accepts keys after one read of the store`, async () => {
        const site = new RestoredStoreSite({ seed });
        await site.group.runAsync(20);
        assert.ok(site.gateways.every(gateway => accepts(gateway, site.newestVersion)));
        await site.group.runAsync(8_000);
        const late = site.startGateway();
        await site.group.runAsync(20);
        assert.ok(accepts(late, site.newestVersion));
        [...site.gateways].forEach(gateway => site.kill(gateway));
        const restarted = [0, 1, 0, 1].map(dataCentre => site.startGateway(dataCentre));
        await site.group.runAsync(20);
        assert.ok(restarted.every(gateway => accepts(gateway, site.newestVersion)));
    });
}

test("the row of a target that has left, brought back by a copy, is not taken at any read", async () => {
    const site = new RestoredStoreSite({ seed: 1 });
    await site.group.runAsync(4_000);
    const gone = site.runningTargets.get("t0");
    assert.ok(gone !== undefined);
    site.saveCopy();
    await site.group.runAsync(1_000);
    site.removeTarget("t0");
    await site.group.runAsync(5_000);
    assert.ok(site.gateways.every(({ directory }) => directory.get("t0") === undefined));
    site.leave();
    await site.group.runAsync(1_000);
    site.comeBack(() => 3_600);
    await site.group.runAsync(8_000, () => {
        for (const { directory } of site.gateways) {
            const used = directory.readyTargets("s").map(incarnationOf);
            assert.ok(!used.includes(incarnationOf(gone)), "a target that has left is used");
        }
    });
});
