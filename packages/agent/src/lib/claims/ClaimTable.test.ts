import { encodeClaim, shortHash } from "@waxwingspar/claims";
import { failure, ManualClock, requestCodes } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ClaimTable, type ClaimTableOptions, type ClaimUse } from "./ClaimTable.js";

const clock = new ManualClock();

function createTable(changes: Partial<ClaimTableOptions> = {}): ClaimTable<string, string> {
    return new ClaimTable({
        target: "t1",
        incarnation: "i2",
        clock,
        limit: 100,
        bytes: 1000,
        answerRetention: 10_000,
        retention: 100_000,
        resumeWindow: 1000,
        ...changes,
    });
}

function use(key: string, request: string, incarnation = "i2", target = "t1", generation = 0): ClaimUse {
    const identity = { route: "demo", organisation: "ports", generation, keyHash: shortHash(key) };
    const claim = encodeClaim({ ...identity, runner: { target, incarnation } });
    return { claim, request, route: "demo", organisation: "ports" };
}

function codeOf(table: ClaimTable<string, string>, asked: ClaimUse): number | undefined {
    const admitted = table.admit(asked);
    return admitted.isErr ? admitted.error.code.number : undefined;
}

function admit(table: ClaimTable<string, string>, asked: ClaimUse) {
    const admitted = table.admit(asked);
    assert.ok(admitted.isOk);
    return admitted.value;
}

test("a claim of an earlier start of the agent is unknown", () => {
    const table = createTable();
    assert.equal(codeOf(table, use("k", "r1", "i1")), requestCodes.outcomeUnknown.number);
    assert.equal(codeOf(table, use("k", "r1", "i2", "t2")), requestCodes.outcomeUnknown.number);
    assert.equal(
        codeOf(table, { ...use("k", "r1"), organisation: "depots" }),
        requestCodes.outcomeUnknown.number,
    );
    assert.equal(codeOf(table, { ...use("k", "r1"), claim: "nonsense" }), requestCodes.malformed.number);
    assert.equal(table.size, 0);
});

test("a refused claim never runs", () => {
    const table = createTable();
    const reason = failure(requestCodes.overloaded, "full");
    table.refuse(use("k", "r1"), reason);
    assert.equal(codeOf(table, use("k", "r1")), requestCodes.overloaded.number);
    const { record } = admit(table, use("l", "r2"));
    table.refused(record, reason);
    assert.equal(codeOf(table, use("l", "r3")), requestCodes.overloaded.number);
});

// The store may have lost the claim and assigned the request to another runner.
test("a claim that comes after this agent has reported without it is refused as not run, and never runs", () => {
    const table = createTable();
    const series = (key: string, generation: number): ClaimUse => {
        const identity = { route: "demo", organisation: "ports", keyHash: shortHash(key), series: "p1", generation };
        return {
            ...use(key, key),
            claim: encodeClaim({ ...identity, runner: { target: "t1", incarnation: "i2" } }),
        };
    };
    const begun = admit(table, series("begun", 4)).record;
    table.refuse(series("refused", 5), failure(requestCodes.overloaded, "full"));
    const reported = table.report({ series: "p1", before: 10 });
    assert.deepEqual(reported.map(({ generation, state }) => [generation, state]), [[4, "ran"]]);
    const late = table.admit(series("late", 9));
    assert.ok(late.isErr && late.error.code.execution === "not run");
    assert.equal(codeOf(table, series("late", 9)), late.error.code.number);
    assert.equal(admit(table, series("begun", 4)).record, begun);
    assert.equal(admit(table, series("new", 10)).action, "run");
    assert.equal(admit(table, use("another series", "r")).action, "run");
});

test("an interrupted claim is resumed only for its own request", () => {
    const table = createTable();
    const { record } = admit(table, use("k", "r1"));
    table.interrupted(record, failure(requestCodes.stageLost, "lost"));
    assert.equal(codeOf(table, use("k", "r2")), requestCodes.inProgress.number);
    clock.advance(2000);
    assert.equal(codeOf(table, use("k", "r2")), requestCodes.outcomeUnknown.number);
    assert.equal(admit(table, use("k", "r1")).action, "run");
});

test("answers are evicted before claims", () => {
    const table = createTable({ bytes: 100 });
    const first = admit(table, use("k1", "r1")).record;
    first.append("x", 80);
    table.ended(first, "end");
    assert.equal(admit(table, use("k1", "r2")).action, "follow");
    const second = admit(table, use("k2", "r3")).record;
    second.append("y", 80);
    table.ended(second, "end");
    assert.equal(table.answerBytes, 80);
    assert.equal(codeOf(table, use("k1", "r2")), requestCodes.outcomeUnknown.number);
    clock.advance(10_001);
    assert.equal(codeOf(table, use("k2", "r4")), requestCodes.outcomeUnknown.number);
    assert.equal(table.answerBytes, 0);
    clock.advance(100_000);
    assert.equal(
        codeOf(table, use("k1", "r5")),
        requestCodes.outcomeUnknown.number,
        "the claim is evicted as well",
    );
    assert.equal(table.size, 0);
    assert.equal(
        admit(table, use("k1", "r5", "i2", "t1", 1)).action,
        "run",
        "a later claim of the same key is a new one",
    );
});

test("a full table evicts the oldest claim, and never runs a claim that it may have evicted", () => {
    const table = createTable({ limit: 2 });
    const running = admit(table, use("k0", "r0")).record;
    for (const generation of [1, 2, 3, 4]) {
        const { record } = admit(table, use(`k${generation}`, "r1", "i2", "t1", generation));
        record.append("x", 1);
        table.ended(record, "end");
    }
    assert.equal(table.size, 3, "two ended claims and the running one");
    assert.equal(codeOf(table, use("k1", "r2", "i2", "t1", 1)), requestCodes.outcomeUnknown.number);
    assert.equal(codeOf(table, use("k2", "r2", "i2", "t1", 2)), requestCodes.outcomeUnknown.number);
    assert.equal(admit(table, use("k3", "r2", "i2", "t1", 3)).action, "follow");
    assert.equal(
        codeOf(table, use("k9", "r2", "i2", "t1", 2)),
        requestCodes.outcomeUnknown.number,
        "as old as the evicted claims",
    );
    assert.equal(admit(table, use("k9", "r2", "i2", "t1", 5)).action, "run");
    assert.equal(running.state, "running");
});

test("a claim that ended or was refused never runs again in any order of events", () => {
    const step = fc.record({
        key: fc.constantFrom("k1", "k2", "k3"),
        request: fc.constantFrom("r1", "r2"),
        then: fc.constantFrom("end", "refuse", "interrupt", "wait", "nothing"),
        incarnation: fc.constantFrom("i1", "i2"),
    });
    fc.assert(
        fc.property(fc.array(step, { maxLength: 40 }), steps => {
            const table = createTable({ bytes: 50, limit: 2 });
            const settled = new Set<string>();
            for (const { key, request, then, incarnation } of steps) {
                const admitted = table.admit(use(key, request, incarnation));
                if (admitted.isErr || admitted.value.action === "follow") {
                    clock.advance(then === "wait" ? 20_000 : 1);
                    continue;
                }
                assert.equal(incarnation, "i2");
                assert.ok(!settled.has(key), `${key} runs after it had ended`);
                const { record } = admitted.value;
                record.append("token", 20);
                if (then === "end") {
                    table.ended(record, "end");
                    settled.add(key);
                }
                else if (then === "refuse") {
                    table.refused(record, failure(requestCodes.overloaded, "full"));
                    settled.add(key);
                }
                else if (then === "interrupt") {
                    table.interrupted(record, failure(requestCodes.stageLost, "lost"));
                }
            }
        }),
        { seed: 11, numRuns: 300 },
    );
});
