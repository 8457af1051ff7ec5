import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedGroup } from "../testing/SimulatedGroup.js";

const dataCentre = "dc-0";

/** The shares of all gateways that take themselves for the issuer of slots of the data centre. */
function issuedShares(group: SimulatedGroup): number[] {
    return group.runningGateways
        .filter(({ exchange, address }) => exchange.findIssuer(dataCentre) === address)
        .map(({ slotShare }) => slotShare.value);
}

// Guards against local quotas that add up to more than half of a room, because followers do not know each other.
test("all gateways know how many their data centre has", () => {
    const group = new SimulatedGroup({ dataCentres: 3, gatewaysEach: 14 });
    group.run(5_000);
    assert.deepEqual([...new Set(group.runningGateways.map(({ slotShare }) => slotShare.localSize))], [14]);
});

// Guards against a gateway that uses a quota before it knows how many others do.
test("a gateway that has just started has no quota", () => {
    const group = new SimulatedGroup({ dataCentres: 1, gatewaysEach: 2, startSpread: 0 });
    group.run(500);
    assert.equal(group.gateways[1]?.slotShare.localSize, Infinity);
});

// Guards against two issuers that each issue all slots, for as long as the parts of a data centre do not meet.
test("groups that were cut from each other have one issuer again soon, and issue each slot once until then", () => {
    for (const gatewaysEach of [2, 8]) {
        for (const duration of [1_500, 4_000, 8_000]) {
            const group = new SimulatedGroup({ dataCentres: 2, gatewaysEach });
            const last = group.gateways[gatewaysEach - 1];
            group.run(4_000);
            group.isCut = (from, to) => (from === last) !== (to === last);
            group.run(duration);
            group.isCut = () => false;
            group.run(4_000, () => {
                const sum = issuedShares(group).reduce((total, share) => total + share, 0);
                assert.ok(sum <= 1, `${gatewaysEach} gateways, cut of ${duration} ms: ${sum}`);
            });
            assert.equal(issuedShares(group).length, 1, `${gatewaysEach} gateways, cut of ${duration} ms`);
        }
    }
});
