import { specSchemas } from "@waxwingspar/config";
import fc from "fast-check";
import assert from "node:assert/strict";
import test from "node:test";
import { isNonIdempotent, parseServicePath } from "./servicePath.js";

const spec = specSchemas.service.parse({
    nonIdempotent: [{ method: "POST", path: "/work-orders" }, { method: "*", path: "/drafts/*" }],
});

test("splits a call's target", () => {
    assert.deepEqual(parseServicePath("/services/records/work-orders?day=1?2"), {
        service: "records",
        path: "/work-orders",
        query: "?day=1?2",
    });
    assert.deepEqual(parseServicePath("/services/records"), { service: "records", path: "/", query: "" });
    assert.equal(parseServicePath("/services/"), undefined);
    assert.equal(parseServicePath("/services/records/a%2fb"), undefined);
    assert.equal(parseServicePath("/services/records/a\\b"), undefined);
});

test("finds calls that may not be repeated", () => {
    assert.equal(isNonIdempotent(spec, "POST", "/work-orders"), true);
    assert.equal(isNonIdempotent(spec, "GET", "/work-orders"), false);
    assert.equal(isNonIdempotent(spec, "POST", "/work-orders/7"), false);
    assert.equal(isNonIdempotent(spec, "DELETE", "/drafts/7"), true);
});

test("no spelling of a path gets round a rule", () => {
    const letters = fc.tuple(
        ..."work-orders".split("").map(letter =>
            fc.constantFrom(
                letter,
                `%${letter.charCodeAt(0).toString(16)}`,
                `%${letter.charCodeAt(0).toString(16).toUpperCase()}`,
            )
        ),
    );
    const before = fc.constantFrom("/", "//", "/./", "/x/../", "/%2e/", "/x/%2E%2e/", "/%78/../");
    const after = fc.constantFrom("", "/", "//", "/.", "/x/..", "?a=/b");
    fc.assert(fc.property(letters, before, after, (path, start, end) => {
        const parsed = parseServicePath(`/services/records${start}${path.join("")}${end}`);
        assert.equal(parsed === undefined || isNonIdempotent(spec, "POST", parsed.path), true);
    }));
});
