import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ScriptedStore } from "../testing/ScriptedStore.js";
import { type DutyMember, DutyRunner } from "./DutyRunner.js";

function member(index: number): DutyMember {
    return { process: `p${index}`, dataCentre: index % 2 === 0 ? "a" : "b", leaving: false };
}

function fleet(size: number, faults: string[] = []) {
    const clock = new ManualClock();
    const store = new ScriptedStore();
    const members = Array.from({ length: size }, (_, index) => member(index));
    const ticks: string[] = [];
    const runners = members.map((self, index) =>
        new DutyRunner({
            store,
            clock,
            random: seededRandom(index),
            process: self.process,
            incarnation: "1",
            members: () => members,
            duties: ["a", "b"].map(dataCentre => ({
                name: `orders/${dataCentre}`,
                dataCentre,
                tick: async () => {
                    ticks.push(`${dataCentre}:${self.process}`);
                    if (faults.length > 0) {
                        throw new Error(faults.pop());
                    }
                },
            })),
        })
    );
    return { clock, store, members, runners, ticks };
}

test("one process holds a duty, in the duty's data centre", async () => {
    const { clock, runners, ticks, store } = fleet(40);
    runners.forEach(runner => runner.start());
    await clock.advanceAsync(60_000, 100);
    const holders = new Set(ticks);
    assert.equal(holders.size, 2);
    for (const holder of holders) {
        const [dataCentre, process] = holder.split(":");
        assert.equal(member(Number(process!.slice(1))).dataCentre, dataCentre);
    }
    // Only the three candidates of each of the two duties poll, whatever the size of the fleet.
    const perDutyMinute = (store.reads + store.writes) / 2;
    assert.ok(perDutyMinute <= 60, `${perDutyMinute} calls per duty and minute`);
});

test("another process takes over at once when the holder stops", async () => {
    const { clock, runners, members } = fleet(6);
    runners.forEach(runner => runner.start());
    await clock.advanceAsync(20_000, 100);
    const first = runners.findIndex(runner => runner.held().includes("orders/a"));
    await runners[first]!.stop();
    members.splice(first, 1, { ...members[first]!, leaving: true });
    await clock.advanceAsync(4_000, 100);
    const second = runners.findIndex(runner => runner.held().includes("orders/a"));
    assert.ok(second >= 0 && second !== first);
});

test("processes of other data centres take over when a data centre has too few", async () => {
    const { clock, runners, members } = fleet(12);
    members.forEach((found, index) => members[index] = { ...found, leaving: found.dataCentre === "a" });
    runners.forEach(runner => runner.start());
    await clock.advanceAsync(20_000, 100);
    const holders = members.filter((_, index) => runners[index]!.held().includes("orders/a"));
    assert.deepEqual(holders.map(({ dataCentre }) => dataCentre), ["b"]);
});

test("a tick that throws does not end the duty", async () => {
    const { clock, runners, ticks } = fleet(1, ["broken"]);
    runners[0]!.start();
    await clock.advanceAsync(20_000, 100);
    assert.ok(ticks.length > 5);
});
