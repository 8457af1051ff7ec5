import { MemoryObjectStore, MemoryTableStore, StoreClient } from "@waxwingspar/stores";
import { ManualClock, requestCodes, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { type ClaimRequest } from "../Claims.js";
import { ClaimJournals } from "./ClaimJournals.js";

const partitions = 32;
const hour = 3_600_000;
/** Milliseconds between two steps of the clock. */
const step = 50;
/** Milliseconds within which a call must be refused. */
const refusalBound = 100;
/** Milliseconds within which claims must be granted again after the outage. */
const recoveryBound = 6000;

function request(number: number): ClaimRequest {
    const runner = { target: "a", incarnation: "1" };
    return { route: "r", organisation: "o", key: `${number}`, digest: "d", runner, retention: 24 * hour };
}

test("an hour without the store refuses new claims at once, spares the store, and ends by itself", async t => {
    const clock = new ManualClock();
    const random = seededRandom(20261202);
    const store = new MemoryTableStore({ clock });
    const objects = new MemoryObjectStore({ clock });
    const breakerPause = { base: 1000, cap: 5000 };
    const rates = { readsPerSecond: 400, writesPerSecond: 400 };
    const table = new StoreClient({ store, clock, random, breakerPause, ...rates });
    const journals = new ClaimJournals({ table, objects, clock, random, partitions });
    const late: number[] = [];
    const granted: number[] = [];
    let number = 0;
    const ask = async (): Promise<void> => {
        const start = clock.now();
        const outcome = await journals.acquire(request(number++));
        if (outcome.isOk) {
            granted.push(clock.now());
            return;
        }
        assert.equal(outcome.error.code, requestCodes.claimUnavailable);
        assert.ok((outcome.error.retryAfter ?? 0) > 0);
        if (clock.now() - start > refusalBound) {
            late.push(clock.now());
        }
    };
    const run = async (duration: number): Promise<void> => {
        for (let time = 0; time < duration; time += step) {
            void ask();
            await clock.advanceAsync(step, step);
        }
    };
    await run(20_000);
    assert.ok(granted.length > 300);
    store.faults.set({ down: true });
    const before = { ...store.faults.arrivals };
    granted.length = 0;
    await run(hour);
    const calls = store.faults.arrivals.read + store.faults.arrivals.write - before.read - before.write;
    t.diagnostic(`${calls} calls to the store in an hour, ${late.length} late refusals`);
    assert.ok(granted.length <= 1, "granted while the store was down");
    assert.ok(late.length <= 5, `${late.length} refusals took longer than ${refusalBound} ms`);
    assert.ok(calls <= hour / 1000, `${calls} calls to the store`);
    store.faults.set({ down: false });
    const end = clock.now();
    await run(20_000);
    t.diagnostic(`claims granted again after ${(granted[0] ?? NaN) - end} ms`);
    assert.ok((granted[0] ?? Infinity) - end <= recoveryBound);
});
