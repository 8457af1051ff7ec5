import { CachedEraStore, MemoryTableStore } from "@waxwingspar/stores";
import { ManualClock, type Outcome, seededRandom, uniqueId } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { RevisionState } from "../revisions/RevisionState.js";
import { StoreLog } from "../revisions/StoreLog.js";
import { type DesiredChange, parseDesired } from "../validation/parseDesired.js";
import { ResourceStore } from "./ResourceStore.js";

/** A process that reads the log and accepts changes. */
class Process {
    readonly state = new RevisionState();
    readonly log: StoreLog;
    readonly store: ResourceStore;

    constructor({ table, clock, processes }: Site) {
        this.log = new StoreLog(new CachedEraStore(table));
        const findNewest = (): Promise<Outcome<number>> =>
            Promise.resolve(Result.ok(Math.max(...processes.map(({ state }) => state.revision))));
        const { log, state } = this;
        this.store = new ResourceStore({ log, state, clock, random: seededRandom(1), findNewest });
    }
}

function serviceNamed(name: string): DesiredChange {
    const desired = parseDesired({ kind: "service", name, spec: {} });
    assert.ok(desired.isOk);
    return desired.value;
}

class Site {
    readonly clock = new ManualClock();
    readonly table = new MemoryTableStore({ clock: this.clock });

    readonly processes: Process[] = [];

    process(): Process {
        const process = new Process(this);
        this.processes.push(process);
        return process;
    }

    /** Sends a change and returns the revision that holds it, or undefined if it was not accepted. */
    async apply({ store }: Process, name: string, changeId = uniqueId()): Promise<number | undefined> {
        const change = serviceNamed(name);
        const accepted = await this.settle(store.apply([change], { changeId }));
        return accepted.isOk ? accepted.value.revision : undefined;
    }

    async settle<T>(work: Promise<T>): Promise<T> {
        let isOpen = true;
        void work.finally(() => isOpen = false);
        for (let step = 0; step < 2_000 && isOpen; step++) {
            await this.clock.advanceAsync(10);
        }
        return work;
    }

    /** The services that a newly started process reads from the store. */
    async services(): Promise<readonly string[]> {
        const { state, log } = this.process();
        assert.ok((await this.settle(log.advance(state))).isOk);
        return state.list("service").map(({ name }) => name).sort();
    }
}

// Guards against a process that starts after the store was restored from a copy and loads the configuration from before
// the lost changes.
test("a change that a copy of the store lacks is written again by a process in which it is in force", async () => {
    const site = new Site();
    const writer = site.process();
    const reader = site.process();
    await site.apply(writer, "old");
    const restore = site.table.saveCopy();
    await site.apply(writer, "lost");
    await site.apply(writer, "lost-too");
    await site.settle(reader.log.advance(reader.state));
    restore();
    await site.settle(reader.log.advance(reader.state));
    assert.deepEqual(await site.services(), ["lost", "lost-too", "old"]);
});

// Guards against a store whose log stays behind the state in force after it was restored from a copy, so that every
// change is refused.
test("changes are accepted again after the store was restored from a copy", async () => {
    const site = new Site();
    const writer = site.process();
    await site.apply(writer, "old");
    const restore = site.table.saveCopy();
    await site.apply(writer, "lost", "change-1");
    restore();
    assert.equal(await site.apply(writer, "new"), 3);
    assert.deepEqual(await site.services(), ["lost", "new", "old"]);
    assert.equal(
        await site.apply(site.process(), "lost", "change-1"),
        2,
        "a repeated request gets the original result",
    );
});

test("restoring the store from a copy at any moment reverts no change that a process has in force", async () => {
    for (let seed = 1; seed <= 40; seed++) {
        const random = seededRandom(seed);
        const site = new Site();
        const processes = [site.process(), site.process(), site.process()];
        let restore: (() => void) | undefined;
        const accepted: string[] = [];
        for (let step = 0; step < 40; step++) {
            const process = processes[random.below(processes.length)];
            assert.ok(process);
            const revision = await site.apply(process, `s${step}`);
            assert.ok(revision !== undefined, `seed ${seed}`);
            accepted.push(`s${step}`);
            // Every process receives a change within seconds, and restoring the store takes longer than that.
            await site.settle(Promise.all(processes.map(({ log, state }) => log.advance(state))));
            if (random.below(4) === 0) {
                restore = site.table.saveCopy();
            }
            else if (random.below(4) === 0) {
                restore?.();
                await site.settle(Promise.all(processes.map(({ log, state }) => log.advance(state))));
            }
        }
        assert.deepEqual(await site.services(), accepted.sort(), `seed ${seed}`);
    }
});

// Guards against a process without the lost change that accepts another change under the same revision before a process
// with the lost change reads the store again.
test("a process that lacks a lost change does not put another one in its place", async () => {
    const site = new Site();
    const writer = site.process();
    const other = site.process();
    await site.apply(writer, "old");
    await site.settle(other.log.advance(other.state));
    const restore = site.table.saveCopy();
    await site.apply(writer, "lost");
    restore();
    await site.apply(other, "new");
    await site.settle(writer.log.advance(writer.state));
    assert.ok((await site.services()).includes("lost"));
});
