import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type LogEntry, type Snapshot } from "./LogEntry.js";
import { nextEntry, RevisionState } from "./RevisionState.js";

const length = 30;
const { entries, snapshots } = buildLog();

const input = fc.oneof(
    fc.record({ kind: fc.constant("entries" as const), from: fc.nat(length - 1), count: fc.nat(8) }),
    fc.record({ kind: fc.constant("snapshot" as const), at: fc.nat(length) }),
    fc.record({ kind: fc.constant("forged" as const), at: fc.nat(length - 1) }),
    fc.record({ kind: fc.constant("forgedSnapshot" as const), at: fc.nat(length) }),
);
type Input = typeof input extends fc.Arbitrary<infer T> ? T : never;

test("whatever is offered in whatever order, the state only moves forward along the log", () => {
    fc.assert(fc.property(fc.array(input, { maxLength: 40 }), inputs => {
        const applied: number[] = [];
        const state = new RevisionState({ retained: 5, onApplied: revision => applied.push(revision) });
        for (const one of inputs) {
            const before = state.revision;
            applyInput(state, one);
            assert(state.revision >= before, "the state moved back");
            assert.deepEqual(contentOf(state.snapshot()), contentOf(snapshots[state.revision]!));
        }
        assert.deepEqual(applied, [...new Set(applied)].sort((a, b) => a - b));
    }));
});

test("entries of a diverged log are rejected until a snapshot of a higher revision is loaded", () => {
    const state = new RevisionState();
    state.apply([nextEntry(state, [{ kind: "service", name: "other", spec: {} }], { writeId: "w", changeId: "c" })]);
    assert.equal(state.apply(entries), "diverged");
    assert.equal(state.since(1, entries[0]!.digest), undefined);
    assert.equal(state.load(snapshots[9]!), "applied");
    assert.equal(state.apply(entries), "applied");
    assert.equal(state.revision, length);
});

test("entries are available after each retained revision, and none before that", () => {
    const state = new RevisionState({ retained: 5 });
    state.apply(entries);
    for (let revision = 0; revision <= length; revision++) {
        const found = state.since(revision, snapshots[revision]!.digest);
        assert.deepEqual(found, revision < length - 5 ? undefined : entries.slice(revision));
    }
});

function applyInput(state: RevisionState, one: Input): void {
    switch (one.kind) {
        case "entries":
            state.apply(entries.slice(one.from, one.from + one.count));
            return;
        case "snapshot":
            state.load(snapshots[one.at]!);
            return;
        case "forged":
            state.apply([{ ...entries[one.at]!, changes: [{ kind: "service", name: "forged", spec: {} }] }]);
            return;
        case "forgedSnapshot":
            state.load({ ...snapshots[one.at]!, resources: snapshots[length]!.resources.slice(1) });
    }
}

function buildLog(): { entries: LogEntry[]; snapshots: Snapshot[]; } {
    const state = new RevisionState();
    const built: LogEntry[] = [];
    const taken = [state.snapshot()];
    for (let number = 0; number < length; number++) {
        const name = `s${number % 4}`;
        const remove = number % 5 === 4 && state.get("service", name) !== undefined;
        const change = remove
            ? { kind: "service" as const, name }
            : { kind: "service" as const, name, spec: { timeout: number } };
        const entry = nextEntry(state, [change], { writeId: `w${number}`, changeId: `c${number}` });
        state.apply([entry]);
        built.push(entry);
        taken.push(state.snapshot());
    }
    return { entries: built, snapshots: taken };
}

/** The parts of a snapshot that do not depend on the order of its resources. */
function contentOf({ revision, digest, content, resources }: Snapshot) {
    return { revision, digest, content, names: resources.map(one => `${one.name} ${one.resourceVersion}`).sort() };
}
