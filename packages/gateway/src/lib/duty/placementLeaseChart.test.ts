import { readStateChart, StateChart } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";

const chart = readStateChart<string, string>(new URL("./placementLease.json", import.meta.url));
const paths = [[], ["holderSilent"], ["holderSilent", "acquired"], ["holderSilent", "acquired", "unconfirmed"]];

for (const path of paths) {
    test(`a stopping process does not acquire the lease, after ${path.join(", ") || "the start"}`, () => {
        const state = new StateChart<string, string>(chart);
        path.forEach(event => state.send(event));
        state.send("released");
        ["holderSilent", "acquired", "confirmed"].forEach(event => state.send(event));
        assert.equal(state.state, "ended");
    });
}

test("a holder that the store does not confirm gives no orders until it does", () => {
    const state = new StateChart<string, string>(chart);
    ["holderSilent", "acquired", "unconfirmed"].forEach(event => state.send(event));
    assert.equal(state.state, "paused");
    state.send("confirmed");
    assert.equal(state.state, "holding");
});
