import { type HistoryEvent } from "@waxwingspar/history";
import { MemoryTableStore, type TableStore } from "@waxwingspar/stores";
import { failure, ManualClock, platformCodes, resourceCodes, seededRandom } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { RevisionState } from "../revisions/RevisionState.js";
import { StoreLog } from "../revisions/StoreLog.js";
import { type DesiredChange, parseDesired } from "../validation/parseDesired.js";
import { type ChangeOutcome, ResourceStore, type ResourceStoreOptions } from "./ResourceStore.js";

class Site {
    readonly clock = new ManualClock();
    readonly effects: string[] = [];
    readonly events: HistoryEvent[] = [];
    readonly table = new MemoryTableStore({ clock: this.clock, onEffect: id => this.effects.push(id) });
    private changes = 0;

    store(options: Partial<ResourceStoreOptions> = {}): ResourceStore {
        return new ResourceStore({
            log: new StoreLog(this.table),
            state: new RevisionState(),
            clock: this.clock,
            random: seededRandom(1),
            record: event => this.events.push(event),
            ...options,
        });
    }

    /** Sends a change and advances the clock until it ends. */
    async apply(store: ResourceStore, changes: DesiredChange[], changeId?: string, dryRun = false) {
        return this.settle(store.apply(changes, { changeId: changeId ?? `change-${this.changes++}`, dryRun }));
    }

    async settle<T>(work: Promise<T>): Promise<T> {
        let done = false;
        void work.finally(() => done = true);
        for (let step = 0; step < 20_000 && !done; step++) {
            await this.clock.advanceAsync(10);
        }
        return work;
    }

    /** Reads a new state from the store. */
    async readState(): Promise<RevisionState> {
        const state = new RevisionState();
        const result = await new StoreLog(this.table).advance(state);
        assert(result.isOk);
        return state;
    }
}

test("a change is one transaction and raises the revision", async () => {
    const site = new Site();
    const store = site.store();
    const first = await site.apply(store, [service("a"), service("b")]);
    assert.equal(revisionOf(first), 1);
    const second = await site.apply(store, [{ ...service("a", 5), resourceVersion: 1 }]);
    assert.equal(revisionOf(second), 2);
    const state = await site.readState();
    assert.equal(state.get("service", "a")?.resourceVersion, 2);
    assert.equal(state.get("service", "b")?.resourceVersion, 1);
    assert.equal(site.effects.length, 2);
});

test("an old resource version is a conflict and loses nothing", async () => {
    const site = new Site();
    await site.apply(site.store(), [service("a")]);
    await site.apply(site.store(), [service("a", 7)]);
    const late = await site.apply(site.store(), [{ ...service("a", 8), resourceVersion: 1 }, service("b")]);
    assert.deepEqual(codesOf(late), [resourceCodes.conflict]);
    const state = await site.readState();
    assert.equal(state.get("service", "a")?.spec.timeout, 7);
    assert.equal(state.get("service", "b"), undefined);
});

test("creating an existing resource and removing a missing one are refused", async () => {
    const site = new Site();
    const store = site.store();
    await site.apply(store, [service("a")]);
    assert.deepEqual(codesOf(await site.apply(store, [{ ...service("a"), resourceVersion: 0 }])), [
        resourceCodes.conflict,
    ]);
    const removal = await site.apply(store, [{ kind: "service", name: "b" }]);
    assert.deepEqual(codesOf(removal), [resourceCodes.noSuchResource]);
});

test("an unchanged spec and a dry run create no revision", async () => {
    const site = new Site();
    const store = site.store();
    await site.apply(store, [service("a")]);
    const same = await site.apply(store, [service("a")]);
    assert(same.isOk);
    assert.deepEqual([same.value.revision, same.value.results[0]?.action], [1, "unchanged"]);
    const dry = await site.apply(store, [service("a", 9), service("b")], "dry", true);
    assert(dry.isOk);
    assert.deepEqual(dry.value.results.map(one => one.action), ["updated", "created"]);
    assert.deepEqual(dry.value.results[0]?.fields, [{ path: "spec.timeout", before: 1, after: 9 }]);
    assert.equal((await site.readState()).revision, 1);
});

test("a lost answer after the effect is a success, once", async () => {
    const site = new Site();
    site.table.faults.set({ losesAfter: 1 });
    const outcome = await site.apply(site.store(), [{ ...service("a"), resourceVersion: 0 }]);
    assert.equal(revisionOf(outcome), 1);
    assert.equal((await site.readState()).revision, 1);
});

test("a change repeated with its ID gets its original result, also from another process", async () => {
    const site = new Site();
    const change = { ...service("a"), resourceVersion: 0 };
    await site.apply(site.store(), [change], "same");
    await site.apply(site.store(), [service("a", 3)]);
    const again = await site.apply(site.store(), [change], "same");
    assert.equal(revisionOf(again), 1);
    assert.equal((await site.readState()).get("service", "a")?.spec.timeout, 3);
});

test("a delayed transaction that the store reported as not applied takes effect at most once", async () => {
    const site = new Site();
    const { table, clock } = site;
    const delayedTable: TableStore = {
        era: table.era,
        get: key => table.get(key),
        scan: (prefix, after, limit) => table.scan(prefix, after, limit),
        findCommit: writeId => table.findCommit(writeId),
        commit: async transaction => {
            clock.schedule(() => void table.commit(transaction), 35);
            return Result.err(failure(platformCodes.storeUnknown, "delayed"));
        },
    };
    const outcome = await site.apply(site.store({ log: new StoreLog(delayedTable) }), [{
        ...service("a"),
        resourceVersion: 0,
    }]);
    await clock.advanceAsync(2000);
    assert.equal(revisionOf(outcome), 1);
    assert.equal((await site.readState()).revision, 1);
    assert.equal(site.effects.length, 1);
});

test("while the store is down a change ends as unavailable, or as unknown if it may have taken effect", async () => {
    const site = new Site();
    const store = site.store({ retryTimeout: 500 });
    site.table.faults.set({ down: true });
    assert.deepEqual(codesOf(await site.apply(store, [service("a")])), [platformCodes.storeUnavailable]);
    site.table.faults.set({ down: false, losesAfter: 1, answerDelay: 100 });
    const pending = store.apply([service("a")], { changeId: "doubt" });
    for (let step = 0; step < 200 && site.effects.length === 0; step++) {
        await site.clock.advanceAsync(10);
    }
    site.table.faults.set({ down: true, answerDelay: 0 });
    assert.deepEqual(codesOf(await site.settle(pending)), [platformCodes.storeUnknown]);
    site.table.faults.set({ down: false });
    assert.equal(revisionOf(await site.apply(site.store(), [service("a")], "doubt")), 1);
});

test("a change is not rejected on the basis of stale reads", async () => {
    const site = new Site();
    const stale = site.store({ retryTimeout: 1000 });
    site.table.faults.set({ stale: true });
    await site.apply(stale, [service("x")]);
    site.table.faults.set({ stale: true });
    const outcome = await site.apply(stale, [{ ...service("x", 2), resourceVersion: 1 }]);
    assert.deepEqual(codesOf(outcome), [platformCodes.storeUnavailable]);
    site.table.faults.set({ stale: false });
    assert.equal(revisionOf(await site.apply(stale, [{ ...service("x", 2), resourceVersion: 1 }])), 2);
});

test("the log keeps its length, and a new process derives the same digest from rows and entries", async () => {
    const site = new Site();
    const store = site.store({ retainedEntries: 3 });
    const witness = new RevisionState();
    for (let number = 0; number < 10; number++) {
        await site.apply(store, [service(`s${number % 4}`, number + 1)]);
        if (number === 4) {
            await new StoreLog(site.table).advance(witness);
        }
    }
    const rows = await site.table.scan("config/log/", "", 100);
    assert(rows.isOk);
    assert.equal(rows.value.length, 3);
    const state = await site.readState();
    await new StoreLog(site.table).advance(witness);
    assert.deepEqual([state.revision, witness.revision], [10, 10]);
    assert.deepEqual([state.content, state.digest], [witness.content, witness.digest]);
    assert.equal(state.list("service").length, 4);
});

test("a change of many resources reads pages instead of single rows, and still refuses stale rows", async () => {
    const site = new Site();
    const store = site.store();
    const many = Array.from({ length: 600 }, (_unused, index) => service(`s${index}`));
    await site.apply(store, many);
    const before = site.table.faults.arrivals.read;
    const changed = Array.from({ length: 600 }, (_unused, index) => service(`s${index}`, 2));
    assert.equal(revisionOf(await site.apply(store, changed)), 2);
    const reads = site.table.faults.arrivals.read - before;
    assert(reads <= 6, `${reads} reads`);
    await site.table.commit({
        writeId: "by hand",
        conditions: [],
        writes: [{
            key: "config/resource/service/s9",
            value: { kind: "service", name: "s9", spec: {}, resourceVersion: 1 },
        }],
    });
    const refused = await site.apply(site.store({ retryTimeout: 200 }), many);
    assert.deepEqual(codesOf(refused), [platformCodes.storeUnavailable]);
});

interface OperatorChange {
    readonly operator: number;
    readonly resource: number;
    readonly timeout: number;
    readonly conditional: boolean;
    readonly remove: boolean;
}

const operatorChanges: fc.Arbitrary<OperatorChange> = fc.record({
    operator: fc.nat(2),
    resource: fc.nat(1),
    timeout: fc.integer({ min: 1, max: 9 }),
    conditional: fc.boolean(),
    remove: fc.boolean(),
});
const faults = fc.record({
    losesAfter: fc.nat(2),
    losesBefore: fc.nat(1),
    delay: fc.nat(40),
    answerDelay: fc.nat(40),
    down: fc.boolean(),
    stale: fc.boolean(),
});

test("racing operators under faults: every change at most once, every answer true", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(fc.tuple(operatorChanges, faults), { minLength: 2, maxLength: 12 }), async steps => {
            const site = new Site();
            const operators = [0, 1, 2].map(seed => site.store({ random: seededRandom(seed), retryTimeout: 1500 }));
            const outcomes: Promise<ChangeOutcome>[] = [];
            for (const [index, [change, fault]] of steps.entries()) {
                site.table.faults.set(fault);
                outcomes.push(operators[change.operator]!.apply([toChange(change)], { changeId: `c${index}` }));
                await site.clock.advanceAsync(30);
            }
            await site.clock.advanceAsync(200);
            site.table.faults.set({
                down: false,
                stale: false,
                losesAfter: 0,
                losesBefore: 0,
                delay: 0,
                answerDelay: 0,
            });
            const ended = await site.settle(Promise.all(outcomes));
            await checkEnd(site, ended);
        }),
        { numRuns: 60, includeErrorInReport: true },
    );
});

async function checkEnd(site: Site, outcomes: readonly ChangeOutcome[]): Promise<void> {
    const state = await site.readState();
    const entries = state.since(0) ?? [];
    assert.equal(new Set(site.effects).size, site.effects.length, "a write id took effect twice");
    outcomes.forEach((outcome, index) => {
        const logged = entries.filter(entry => entry.changeId === `c${index}`);
        assert(logged.length <= 1, "a change was applied twice");
        if (outcome.isOk && outcome.value.results[0]?.action !== "unchanged") {
            assert.equal(logged[0]?.revision, outcome.value.revision, "an accepted change is not in the log");
        }
        if (outcome.isErr && outcome.error[0]?.code !== platformCodes.storeUnknown) {
            assert.equal(logged.length, 0, `reported ${outcome.error[0]?.code.name}, but it is in the log`);
        }
    });
}

function toChange({ resource, timeout, conditional, remove }: OperatorChange): DesiredChange {
    const change = remove ? { kind: "service" as const, name: `r${resource}` } : service(`r${resource}`, timeout);
    return conditional ? { ...change, resourceVersion: timeout % 3 } : change;
}

function service(name: string, timeout = 1): DesiredChange {
    const parsed = parseDesired({ kind: "service", name, spec: { timeout } });
    assert(parsed.isOk);
    return parsed.value;
}

function revisionOf(outcome: ChangeOutcome): number {
    assert(outcome.isOk, outcome.isErr ? JSON.stringify(outcome.error) : "");
    return outcome.value.revision;
}

function codesOf(outcome: ChangeOutcome) {
    assert(outcome.isErr, "accepted");
    return outcome.error.map(one => one.code);
}
