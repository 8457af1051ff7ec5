import { seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { disturbSlotSite } from "../testing/disturbSlotSite.js";
import { SlotSite, type SlotSiteOptions } from "../testing/SlotSite.js";

const overload = 180;
const sizes: readonly (readonly [string, SlotSiteOptions, readonly number[]])[] = [
    ["one gateway", { dataCentres: 1, gatewaysEach: 1, load: 60 }, [1, 2]],
    ["6 gateways", { gatewaysEach: 2, load: overload }, [1, 2, 3, 4, 5, 6]],
    ["43 gateways", { gatewaysEach: 14, load: overload }, [1, 2]],
];
const faulty = { loss: 0.03, duplicates: 0.03, maxDelay: 20, crossing: 0.1, running: 0.03 };

function createSite(options: SlotSiteOptions): SlotSite {
    const site = new SlotSite(options);
    if (options.gatewaysEach === 14) {
        site.join(0, 14);
    }
    return site;
}

function assertBound({ heads }: SlotSite, seed: number): void {
    for (const { id, worstExcess } of heads) {
        assert.ok(worstExcess <= 0, `seed ${seed}: ${worstExcess} requests too many on ${id}`);
    }
}

for (const [name, options, seeds] of sizes) {
    // Guards against issuers, quotas and counts that together admit more than a head has room for.
    test(`${name}: heads get no more than they have room for, through losses, restarts, joins and cuts`, async () => {
        for (const seed of seeds) {
            const site = createSite({ ...options, ...faulty, seed });
            if (options.dataCentres !== 1) {
                site.after(5_000, () => disturbSlotSite(site, seededRandom(seed)));
            }
            await site.run(18_000);
            assertBound(site, seed);
        }
    });

    // Guards against slots that are reserved for nobody, or lost with a message.
    test(`${name}: above capacity nearly all slots are used, with few messages`, async () => {
        const site = createSite({ ...options, seed: 7 });
        await site.run(5_000);
        site.heads.forEach(head => Object.assign(head, { used: 0 }));
        site.slotMessages = 0;
        site.results.length = 0;
        await site.run(5_000);
        for (const { id, used, room } of site.heads) {
            assert.ok(used / room / 5_000 > 0.95, `${id}: ${used / room / 5_000} of the slots used`);
        }
        const messages = site.slotMessages / site.results.length;
        assert.ok(messages <= 3, `${messages} messages for each request`);
        assertBound(site, 7);
    });
}

// Guards against refusals and messages at times of little load.
test("below the local quotas no message is sent and nothing is refused", async () => {
    for (const [gatewaysEach, load] of [[2, 4], [14, 1]] as const) {
        const site = new SlotSite({ gatewaysEach, load });
        await site.run(40_000);
        assert.equal(site.slotMessages, 0);
        assert.ok(site.results.length > 10 && site.results.every(({ isGranted }) => isGranted));
    }
});

// Guards against an issuer that does not count what gateways of an older build send without asking.
test("gateways of an older build are counted by their heartbeats", async () => {
    for (const seed of [1, 2, 3]) {
        const site = new SlotSite({ seed, gatewaysEach: 4, load: overload, older: 3 });
        await site.run(10_000);
        assertBound(site, seed);
        const [head] = site.heads;
        assert.ok(head !== undefined && head.inFlight <= head.room * 1.02, `${head?.inFlight} requests`);
    }
});

// Guards against slots that stay lost when their holders do.
test("after the loss of half of the gateways the others use their slots", async () => {
    const site = new SlotSite({ gatewaysEach: 4, load: overload });
    await site.run(6_000);
    [7, 3].forEach(index => site.kill(index));
    await site.run(6_000);
    for (const { id, inFlight, room } of site.heads) {
        assert.ok(inFlight >= 0.7 * room, `${id}: ${inFlight} requests`);
    }
});
