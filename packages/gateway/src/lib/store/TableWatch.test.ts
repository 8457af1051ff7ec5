import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type RowChange, type Store, type StoreFailure, type TableChanges, type TableSnapshot } from "./Store.js";
import { TableWatch } from "./TableWatch.js";
import { type TableWatchOptions } from "./TableWatchOptions.js";

type Reply =
    | ({ readonly kind: "read"; } & TableSnapshot)
    | ({ readonly kind: "changes"; } & TableChanges)
    | StoreFailure;

/** A store that gives scripted replies, and none after the last one. */
class ScriptedStore implements Store {
    readonly calls: string[] = [];
    readonly waits: number[] = [];

    constructor(
        private readonly replies: (Reply | { readonly after: number; readonly reply: Reply; })[],
        private readonly clock: ManualClock,
    ) {}

    read(table: string): Promise<never> {
        this.calls.push(`read ${table}`);
        return this.next();
    }

    watch(_table: string, after: number, wait: number): Promise<never> {
        this.calls.push(`watch ${after}`);
        this.waits.push(wait);
        return this.next();
    }

    write(): Promise<never> {
        throw new Error("not used");
    }

    private next(): Promise<never> {
        const entry = this.replies.shift();
        if (entry === undefined) {
            return new Promise(() => undefined);
        }
        const { after, reply } = "reply" in entry ? entry : { after: 0, reply: entry };
        return new Promise(resolve => void this.clock.schedule(() => resolve(reply as never), after));
    }
}

function watchTable(replies: ConstructorParameters<typeof ScriptedStore>[0], options: Partial<TableWatchOptions> = {}) {
    const clock = new ManualClock();
    const store = new ScriptedStore(replies, clock);
    const seen: string[] = [];
    const watch = new TableWatch({
        clock,
        store,
        table: "t",
        wait: 2_000,
        onSnapshot: rows => seen.push(`all ${rows.map(({ key }) => key).join()}`),
        onChanges: changes => seen.push(...changes.map(({ key, row }) => `${key}=${String(row?.value)}`)),
        ...options,
    });
    void watch.run();
    return { clock, store, seen, watch };
}

const change = (key: string, value: unknown, version: number): RowChange => ({ key, row: { key, value, version } });

test("reads the table, then follows it by version", async () => {
    const { clock, store, seen } = watchTable([
        { kind: "read", rows: [{ key: "a", value: 1, version: 3 }], version: 5 },
        { kind: "changes", changes: [change("a", 2, 6)], version: 6 },
    ]);
    await clock.advanceAsync(50);
    assert.deepEqual(seen, ["all a", "a=2"]);
    assert.deepEqual(store.calls, ["read t", "watch 5", "watch 6"]);
});

test("changes of one key in one batch come in their order, the newest last", async () => {
    const { clock, seen } = watchTable([
        { kind: "read", rows: [], version: 1 },
        { kind: "changes", changes: [change("a", 1, 2), { key: "a", row: undefined }, change("a", 3, 4)], version: 4 },
    ]);
    await clock.advanceAsync(50);
    assert.deepEqual(seen, ["all ", "a=1", "a=undefined", "a=3"]);
});

test("history gone: reads the table again immediately", async () => {
    const { clock, store } = watchTable([
        { kind: "read", rows: [], version: 1 },
        { kind: "historyGone" },
        { kind: "read", rows: [], version: 9 },
    ]);
    await clock.advanceAsync(50);
    assert.deepEqual(store.calls, ["read t", "watch 1", "read t", "watch 9"]);
});

test("after an outage removed rows may be written again until the rewrite time has passed", async () => {
    const graceEnds: number[] = [];
    const { clock } = watchTable([
        { kind: "read", rows: [], version: 1 },
        { kind: "unavailable", reason: "503" },
        { kind: "changes", changes: [change("a", 1, 2)], version: 2 },
    ], { onChanges: (_changes, graceEnd) => graceEnds.push(graceEnd), retryDelay: 100, rewriteTime: 2_200 });
    await clock.advanceAsync(300);
    const [graceEnd = 0] = graceEnds;
    assert.ok(graceEnd > 2_200 && graceEnd <= clock.now() + 2_200);
});

test("confirms from the moment a call was sent, not from its reply", async () => {
    const confirmed: number[] = [];
    const { clock } = watchTable([
        { kind: "read", rows: [], version: 1 },
        { after: 1_500, reply: { kind: "changes", changes: [], version: 1 } },
    ], { onConfirmed: ({ now }) => confirmed.push(now) });
    await clock.advanceAsync(2_000);
    assert.equal(confirmed.length, 2);
    assert.ok((confirmed[1] ?? 0) < 100);
});

test("a reply without changes confirms the table up to the end of the wait", async () => {
    const confirmed: number[] = [];
    const { clock } = watchTable([
        { kind: "read", rows: [], version: 1 },
        { after: 2_004, reply: { kind: "changes", changes: [], version: 1 } },
        { after: 500, reply: { kind: "changes", changes: [change("a", 1, 2)], version: 2 } },
    ], { onConfirmed: ({ now }) => confirmed.push(now) });
    await clock.advanceAsync(3_000);
    assert.deepEqual(confirmed.map(moment => Math.floor(moment / 100) * 100), [0, 2_000, 2_000]);
});

test("changes in quick succession are batched", async () => {
    const changes = [2, 3, 4, 5, 6, 7, 8].map(version => ({
        kind: "changes" as const,
        changes: [change("a", version, version)],
        version,
    }));
    const { clock, store } = watchTable([{ kind: "read", rows: [], version: 1 }, ...changes], { batchDelay: 250 });
    await clock.advanceAsync(240);
    assert.ok(store.calls.length <= 5, `${store.calls.length} calls`);
});

test("calls do not wait for changes during an outage, so that its end is noticed immediately", async () => {
    const { clock, store } = watchTable([
        { kind: "read", rows: [], version: 1 },
        { after: 2_700, reply: { kind: "unknown", reason: "timeout" } },
        { after: 700, reply: { kind: "unknown", reason: "timeout" } },
        { kind: "changes", changes: [], version: 1 },
    ]);
    await clock.advanceAsync(4_000);
    assert.deepEqual(store.waits, [2_000, 0, 0, 2_000]);
});

test("a loss reports how long the call took, a recovery reports the age of the last failed call", async () => {
    const losses: number[] = [];
    const returns: number[] = [];
    const { clock } = watchTable([
        { kind: "read", rows: [], version: 1 },
        { after: 2_700, reply: { kind: "unknown", reason: "timeout" } },
        { after: 700, reply: { kind: "unknown", reason: "timeout" } },
        { kind: "changes", changes: [], version: 1 },
    ], {
        onLost: (_reason, waited) => losses.push(waited),
        onRegained: (_outage, sinceFailure) => returns.push(sinceFailure),
        retryDelay: 200,
    });
    await clock.advanceAsync(4_000);
    assert.deepEqual(losses, [2_700]);
    const [sinceFailure = 0] = returns;
    assert.ok(sinceFailure >= 700 && sinceFailure < 750, `${sinceFailure}`);
});

test("a call that timed out is retried immediately, one that was refused after the retry delay", async () => {
    const { clock, store } = watchTable([
        { kind: "read", rows: [], version: 1 },
        { after: 2_700, reply: { kind: "unknown", reason: "timeout" } },
        { kind: "unavailable", reason: "status 503" },
    ], { retryDelay: 200 });
    await clock.advanceAsync(2_750);
    assert.equal(store.calls.length, 3);
    await clock.advanceAsync(100);
    assert.equal(store.calls.length, 3);
    await clock.advanceAsync(100);
    assert.equal(store.calls.length, 4);
});

// During an outage every process made five calls a second for each table; all were refused, and each one is billed.
test("while the store refuses calls their interval doubles to 0.8 s, and a report of a newer version ends the wait", async () => {
    const refusals = Array.from({ length: 50 }, (): StoreFailure => ({ kind: "unavailable", reason: "status 503" }));
    const { clock, store, watch } = watchTable([{ kind: "read", rows: [], version: 1 }, ...refusals], {
        retryDelay: 200,
        random: seededRandom(1_000_003),
    });
    await clock.advanceAsync(8_000);
    assert.ok(store.calls.length >= 8_000 / 800 && store.calls.length <= 8_000 / 400, `${store.calls.length} calls`);
    const before = store.calls.length;
    watch.applyPeerStatus({ version: 9, seen: 9, age: 0 }, { now: clock.now(), date: clock.date().getTime() });
    await clock.advanceAsync(250);
    assert.ok(store.calls.length > before);
});

test("calls that alternately succeed and fail immediately do not cause a busy loop", async () => {
    const { clock, store } = watchTable(
        Array.from({ length: 2_000 }, (_, i) =>
            i % 2 === 0
                ? { kind: i === 0 ? "read" as const : "changes" as const, rows: [], changes: [], version: 1 }
                : { kind: "unavailable" as const, reason: "ECONNRESET" }),
        { retryDelay: 200 },
    );
    await clock.advanceAsync(2_000);
    assert.ok(store.calls.length <= 22, `${store.calls.length} calls`);
});

test("after its connection is restored, a process drops a target that left within three seconds", async () => {
    const graceEnds: number[] = [];
    const { clock } = watchTable([
        { kind: "read", rows: [], version: 1 },
        { kind: "unknown", reason: "timeout" },
        { after: 700, reply: { kind: "unknown", reason: "timeout" } },
        { kind: "changes", changes: [{ key: "a", row: undefined }], version: 2 },
    ], { onChanges: (_changes, graceEnd) => graceEnds.push(graceEnd) });
    await clock.advanceAsync(2_000);
    // The connection was restored no earlier than when the last failed call was sent.
    const returnedAt = 200;
    const [graceEnd = Infinity] = graceEnds;
    assert.ok(graceEnd - returnedAt < 3_000, `${graceEnd}`);
});

// Guards against a process that stops following a table because of one row.
test("a table is followed on after rows that could not be applied", async () => {
    const applied: number[] = [];
    const thrown = new Set<number>();
    const applyLater = (version: number) => {
        if (!thrown.has(version)) {
            thrown.add(version);
            throw new RangeError("Maximum call stack size exceeded");
        }
        applied.push(version);
    };
    const read = { kind: "read" as const, rows: [{ key: "a", value: 1, version: 1 }], version: 1 };
    const changes = (version: number) => ({
        kind: "changes" as const,
        changes: [change("a", version, version)],
        version,
    });
    const { clock, watch } = watchTable([read, read, changes(2), changes(2), changes(3), changes(3)], {
        onSnapshot: () => applyLater(1),
        onChanges: ([first]) => applyLater(first?.row?.version ?? 0),
    });
    await clock.advanceAsync(10_000);
    watch.stop();
    assert.deepEqual(applied, [1, 2, 3]);
});
