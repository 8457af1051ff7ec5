import assert from "node:assert/strict";
import { test } from "node:test";
import { fitSlope } from "./fitSlope.js";
import { replaceSection } from "./replaceSection.js";

test("a straight line is found without residual", () => {
    const fit = fitSlope([1, 2, 5, 9].map(x => ({ x, y: 3 + 2 * x })));
    assert.ok(Math.abs(fit.slope - 2) < 1e-9 && Math.abs(fit.intercept - 3) < 1e-9);
    assert.ok(fit.residual < 1e-9);
    assert.ok(Math.abs(fit.at(100) - 203) < 1e-9);
});

test("a point off the line shows in the residual", () => {
    const fit = fitSlope([{ x: 1, y: 1 }, { x: 2, y: 2 }, { x: 3, y: 9 }, { x: 4, y: 4 }]);
    assert.ok(fit.residual > 0.3, `${fit.residual}`);
});

test("a section is replaced and the rest of the page kept", () => {
    const page = "before\n<!-- begin a -->\nold\n<!-- end a -->\nafter\n";
    assert.equal(replaceSection(page, "a", "new"), "before\n<!-- begin a -->\nnew\n<!-- end a -->\nafter\n");
});

test("a section that is missing is an error", () => {
    assert.throws(() => replaceSection("no markers", "a", "new"), /a/);
});
