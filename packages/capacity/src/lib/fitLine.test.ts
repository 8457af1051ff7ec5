import assert from "node:assert/strict";
import { test } from "node:test";
import { fitLine } from "./fitLine.js";
import { replaceSection } from "./replaceSection.js";

test("points on a straight line are fitted without residual", () => {
    const fit = fitLine([1, 2, 5, 9].map(x => ({ x, y: 3 + 2 * x })));
    assert.ok(Math.abs(fit.slope - 2) < 1e-9 && Math.abs(fit.intercept - 3) < 1e-9);
    assert.ok(fit.residual < 1e-9);
    assert.ok(Math.abs(fit.at(100) - 203) < 1e-9);
});

test("a point off the line shows in the residual", () => {
    const fit = fitLine([{ x: 1, y: 1 }, { x: 2, y: 2 }, { x: 3, y: 9 }, { x: 4, y: 4 }]);
    assert.ok(fit.residual > 0.3, `${fit.residual}`);
});

test("a section is replaced and the rest of the page is unchanged", () => {
    const page = "before\n<!-- begin a -->\nold\n<!-- end a -->\nafter\n";
    assert.equal(replaceSection(page, "a", "new"), "before\n<!-- begin a -->\nnew\n<!-- end a -->\nafter\n");
});

test("a missing section is an error", () => {
    assert.throws(() => replaceSection("no markers", "a", "new"), /a/);
});
