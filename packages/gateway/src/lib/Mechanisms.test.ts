import assert from "node:assert/strict";
import { test } from "node:test";
import { listMechanisms, switchOff } from "./Mechanisms.js";

test("every mechanism is on unless it is named", () => {
    const isOn = switchOff("hedged-sends, penalties");
    const off = listMechanisms().map(([name]) => name).filter(name => !isOn(name));
    assert.deepEqual(off.sort(), ["hedged-sends", "penalties"]);
    assert.ok(listMechanisms().every(([name]) => switchOff("")(name)));
});

test("an unknown name raises an error that lists the known names", () => {
    assert.throws(() => switchOff("hedged-sends,magic"), /unknown mechanism magic; known mechanisms: second-copies/);
});
