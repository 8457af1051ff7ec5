import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { buildChain } from "../chains/buildChain.js";
import { testEngine, testTarget } from "../testing/fixtures.js";
import { DataCentreChain } from "./DataCentreChain.js";

function chainOf(...ids: readonly string[]) {
    const size = 80 / ids.length;
    const targets = ids.map((id, index) => testTarget(id, "large", { first: index * size, end: (index + 1) * size }));
    const chain = buildChain("x", targets, testEngine);
    assert.ok(chain !== undefined);
    return chain;
}

/** Guards against targets that give up layers while further chains serve over them. */
test("targets of further chains are in use while a chain is whole", () => {
    const chain = new DataCentreChain(new ManualClock());
    chain.update([chainOf("t1", "t2"), chainOf("t3", "t2", "t4", "t5")]);
    assert.deepEqual([...chain.inUse].sort(), ["t1", "t2", "t3", "t4", "t5"]);
});

/** Guards against a data centre that stays without a chain because no target may take the lost layers. */
test("when no chain is whole, only targets of the first chain are in use", () => {
    const clock = new ManualClock();
    const chain = new DataCentreChain(clock);
    chain.update([chainOf("t1", "t2"), chainOf("t3", "t2", "t4", "t5")]);
    clock.advance(150);
    chain.update([]);
    assert.deepEqual([...chain.inUse].sort(), ["t1", "t2"]);
    clock.advance(8_000);
    chain.update([]);
    assert.deepEqual([...chain.inUse], []);
});
