import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SimulatedStore } from "../testing/SimulatedStore.js";
import { TrialLease } from "./TrialLease.js";

function createSite() {
    const clock = new ManualClock(1_000_000);
    const store = new SimulatedStore(clock);
    const createLease = () => new TrialLease({ clock, store, table: "t" });
    const after = async <T>(duration: number, result: Promise<T>): Promise<T> => {
        for (let time = 0; time < duration; time += 10) {
            await clock.advanceAsync(10);
        }
        return result;
    };
    return { clock, store, createLease, after };
}

test("one of several gateways holds the lease, the next one once it is released", async () => {
    const { createLease, after } = createSite();
    const [first, second] = [createLease(), createLease()];
    assert.equal(await after(50, first.acquire()), "held");
    assert.equal(await after(1_500, second.acquire()), "busy");
    const waiting = second.acquire();
    first.release();
    assert.equal(await after(500, waiting), "held");
});

test("a lease whose holder is gone is taken over after three seconds, and its holder does not release the new one", async () => {
    const { createLease, after } = createSite();
    const [gone, second, third] = [createLease(), createLease(), createLease()];
    await after(50, gone.acquire());
    for (let time = 0; time < 3; time++) {
        assert.equal(await after(1_100, second.acquire()), "busy");
    }
    assert.equal(await after(500, second.acquire()), "held");
    gone.release();
    assert.equal(await after(1_500, third.acquire()), "busy");
});

test("without the store no lease is granted", async () => {
    const { store, createLease, after } = createSite();
    store.setDown(true);
    assert.equal(await after(3_000, createLease().acquire()), "unavailable");
});
