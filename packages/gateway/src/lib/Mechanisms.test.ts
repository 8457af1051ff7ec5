import assert from "node:assert/strict";
import { test } from "node:test";
import { listMechanisms, parseDisabledMechanisms } from "./Mechanisms.js";

test("every mechanism is on unless it is named", () => {
    const isOn = parseDisabledMechanisms("hedged-sends, penalties");
    const off = listMechanisms().map(([name]) => name).filter(name => !isOn(name));
    assert.deepEqual(off.sort(), ["hedged-sends", "penalties"]);
    assert.ok(listMechanisms().every(([name]) => parseDisabledMechanisms("")(name)));
});

test("an unknown name raises an error that lists the known names", () => {
    assert.throws(
        () => parseDisabledMechanisms("hedged-sends,magic"),
        /unknown mechanism magic; known mechanisms: second-copies/,
    );
});
