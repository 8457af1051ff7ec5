import assert from "node:assert/strict";
import test from "node:test";
import { HistoryBuilder } from "../testing/HistoryBuilder.js";
import { sampleHistory } from "../testing/sampleHistory.js";
import { change, layersRunAt } from "../testing/testPlantedViolations.js";
import { type HistoryRule, historyRules } from "./check/Findings.js";
import { checkHistory } from "./checkHistory.js";
import { historyEventSchema, type HistoryLine } from "./HistoryEvent.js";

test("a valid history passes every rule", () => {
    const report = checkHistory(sampleHistory().lines());
    assert.deepEqual(report.violations, []);
    for (const rule of historyRules) {
        assert.ok(report.rules[rule].passed > 0, `${rule} had no case`);
        assert.equal(report.rules[rule].undecided, 0, `${rule} was undecided`);
    }
    assert.equal(report.tokens, 13);
    assert.deepEqual(report.incomplete, []);
    const missing = historyEventSchema.options.map(option => option.shape.event.value).filter(name =>
        !report.events[name]
    );
    assert.deepEqual(missing, [], "the sample lacks these events");
});

/** Drops the lines of a process after the first `keep`, as if the process had been killed. */
function truncate(lines: readonly HistoryLine[], process: string, keep: number): HistoryLine[] {
    return lines.filter(line => line.process !== process || line.sequence < keep);
}

test("a case that depends on the lost lines of a killed process is undecided, not passed", () => {
    const lines = sampleHistory().lines();
    const whole = checkHistory(lines).rules;
    const leaving = lines.find(({ body }) => body.event === "target.leaving")?.sequence ?? 0;
    const cases: [string, HistoryRule, number][] = [
        ["target-d", "layers", 2],
        ["target-a", "not-run", 2],
        ["target-d", "at-most-once", 2],
        ["entry-2", "at-most-once", 2],
        ["entry-1", "delivery", 2],
        ["caller", "answers", 2],
        ["target-c", "orders", 2],
        ["store", "writes", 2],
        ["target-b", "leaving", leaving + 1],
        ["operators", "configuration", 2],
    ];
    for (const [process, rule, keep] of cases) {
        const { rules, violations, incomplete } = checkHistory(truncate(lines, process, keep));
        assert.deepEqual(violations, [], process);
        assert.ok(incomplete.some(name => name.startsWith(process)));
        assert.ok(rules[rule].undecided > 0, `${rule} without ${process}`);
        assert.ok(rules[rule].passed < whole[rule].passed, `${rule} without ${process}`);
    }
});

test("a history that is missing entirely must be named as lost", () => {
    const lines = sampleHistory().lines().filter(line => line.process !== "target-d");
    const { violations, rules } = checkHistory(lines);
    assert.deepEqual(violations, []);
    assert.ok(rules.layers.undecided > 0);
    const withoutOperators = sampleHistory().lines().filter(line => line.process !== "operators");
    assert.ok(checkHistory(withoutOperators).violations.length > 0);
    const named = checkHistory(withoutOperators, { lost: ["operators"] });
    assert.deepEqual(named.violations, []);
    assert.ok(named.rules.configuration.undecided > 0);
});

test("later positions of the same incarnation prove a gap, even if its last lines are lost", () => {
    const history = sampleHistory();
    change(history, "layers.run", layersRunAt("resumed", 0, 24, 4), () => []);
    const killed = history.lines().filter(line =>
        line.process !== "target-b" || line.body.event === "layers.run"
        || line.body.event === "process.started"
    );
    const { violations } = checkHistory(killed);
    assert.ok(violations.some(({ rule }) => rule === "layers"));
});

test("a killed agent makes only those cases undecided that it could have recorded", () => {
    const { rules } = checkHistory(truncate(sampleHistory().lines(), "target-b", 2));
    const whole = checkHistory(sampleHistory().lines()).rules;
    for (const rule of ["delivery", "answers", "at-most-once", "configuration", "orders", "writes"] as const) {
        assert.deepEqual(rules[rule], whole[rule], rule);
    }
});

test("an entry killed before the end of a request may have started more attempts", () => {
    const history = new HistoryBuilder();
    const received = {
        event: "request.received",
        request: "r",
        organisation: "o",
        route: "m",
        idempotent: false,
    } as const;
    history.add("entry", received);
    const { rules } = checkHistory(history.lines());
    assert.deepEqual(rules["at-most-once"], { passed: 0, violated: 0, undecided: 1 });
});

test("an answer without an expected digest is undecided", () => {
    const history = new HistoryBuilder();
    history.add("caller", { event: "caller.sent", callerRequest: "c", idempotent: true });
    history.add("caller", { event: "caller.ended", callerRequest: "c", outcome: "completed", digest: "d" });
    history.close();
    assert.deepEqual(checkHistory(history.lines()).rules.answers, { passed: 0, violated: 0, undecided: 1 });
});

test("an incarnation killed earlier does not make the leaving of its successor undecided", () => {
    const history = new HistoryBuilder();
    history.add("target-a#1");
    history.time += 100;
    history.add("target-a#2", { event: "target.leaving", target: "target-a", bound: 10 });
    const undecided = checkHistory(history.lines()).rules.leaving;
    assert.deepEqual(undecided, { passed: 0, violated: 0, undecided: 1 });
    history.add("target-a#2", { event: "history.closed" });
    assert.deepEqual(checkHistory(history.lines()).rules.leaving, { passed: 1, violated: 0, undecided: 0 });
});

test("a process that must apply configuration but never does is caught", () => {
    const lines = sampleHistory().lines();
    assert.deepEqual(checkHistory(lines, { configured: ["entry-1", "target-a"] }).violations, []);
    const { violations } = checkHistory(lines, { configured: ["operators"] });
    assert.ok(violations.every(({ rule, message }) => rule === "configuration" && message.includes("operators")));
    assert.equal(violations.length, 3);
});

test("revisions up to the base revision need no acceptance", () => {
    const history = new HistoryBuilder();
    history.add("entry", { event: "config.applied", revision: 8, digest: "d" });
    history.close();
    assert.equal(checkHistory(history.lines(), { baseRevision: 8 }).violations.length, 0);
    assert.equal(checkHistory(history.lines(), { baseRevision: 7 }).violations.length, 1);
});
