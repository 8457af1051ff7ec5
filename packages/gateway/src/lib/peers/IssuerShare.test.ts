import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedGroup } from "../testing/SimulatedGroup.js";

const dataCentre = "dc-0";

/** Adds up the shares of all gateways that take themselves for the issuer of permits of the data centre. */
function addShares(group: SimulatedGroup): number {
    return group.runningGateways
        .filter(({ exchange, address }) => exchange.findIssuer(dataCentre) === address)
        .reduce((sum, { issuerShare }) => sum + issuerShare.value, 0);
}

for (const gatewaysEach of [2, 8]) {
    test(`${gatewaysEach} gateways in a data centre: after a cut of the first one all issue the limit once`, () => {
        const group = new SimulatedGroup({ dataCentres: 3, gatewaysEach });
        const [first] = group.gateways;
        group.run(4_000);
        assert.equal(addShares(group), 1);
        group.isCut = (from, to) => (from === first) !== (to === first);
        group.run(3_000);
        group.isCut = () => false;
        group.run(10_000, () => assert.ok(addShares(group) <= 1, `${addShares(group)}`));
        assert.ok(addShares(group) > 0.9);
    });

    test(`${gatewaysEach} gateways in a data centre: both sides of a cut between data centres issue the limit once`, () => {
        const group = new SimulatedGroup({ dataCentres: 3, gatewaysEach });
        group.run(4_000);
        group.isCut = (from, to) => (from.dataCentre === dataCentre) !== (to.dataCentre === dataCentre);
        group.run(6_000);
        assert.ok(addShares(group) <= 1 && addShares(group) > 0.3, `${addShares(group)}`);
        group.isCut = () => false;
        group.run(6_000);
        assert.equal(addShares(group), 1);
    });
}
