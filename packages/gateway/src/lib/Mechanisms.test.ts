import assert from "node:assert/strict";
import { test } from "node:test";
import { listMechanisms, switchOff } from "./Mechanisms.js";

test("everything is on unless it is named", () => {
    const isOn = switchOff("hedged-sends, penalties");
    const off = listMechanisms().map(([name]) => name).filter(name => !isOn(name));
    assert.deepEqual(off.sort(), ["hedged-sends", "penalties"]);
    assert.ok(listMechanisms().every(([name]) => switchOff("")(name)));
});

test("an unknown name is an error that lists the known ones", () => {
    assert.throws(() => switchOff("hedged-sends,magic"), /no mechanism is named magic; there are second-copies/);
});
