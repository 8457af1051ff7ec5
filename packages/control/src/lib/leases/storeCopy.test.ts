import { CachedEraStore, MemoryTableStore } from "@waxwingspar/stores";
import { ManualClock, type Outcome, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Lease } from "./Lease.js";

const duration = 1000;
const holders = ["a", "b", "c"];

/** Processes that compete for one lease in a store that is restored from copies. */
class LeaseSite {
    readonly clock = new ManualClock();
    readonly store = new MemoryTableStore({ clock: this.clock });
    readonly leases = holders.map(holder => this.lease(holder));

    lease(holder: string): Lease {
        const { clock } = this;
        const store = new CachedEraStore(this.store);
        return new Lease({ store, clock, duty: "orders/a", holder, incarnation: `${holder}-1`, duration });
    }

    /** Advances the clock until a call has completed. */
    async wait<T>(call: Promise<Outcome<T>>): Promise<Outcome<T>> {
        let isOpen = true;
        void call.finally(() => isOpen = false);
        while (isOpen) {
            await this.clock.advanceAsync(1, 1);
        }
        return call;
    }
}

// Guards against issuing a fence twice: a copy made before the first acquisition lacks its fence when it is restored.
test("two holders never carry one fence, though a copy of the store lacks the first one's term", async () => {
    const site = new LeaseSite();
    const [first, second] = site.leases;
    assert.ok(first !== undefined && second !== undefined);
    const restore = site.store.saveCopy();
    await site.wait(first.poll());
    restore();
    await site.wait(second.poll());
    assert.ok(first.fence !== undefined && second.fence !== undefined);
    assert.ok(second.fence > first.fence, "the target can refuse orders of the earlier holder");
});

test("restoring a copy of the store at any time never gives one fence to two processes", async () => {
    const firstSeed = Number(process.env["LEASE_FIRST"] ?? 1);
    const seedCount = Number(process.env["LEASE_SEEDS"] ?? 60);
    for (let seed = firstSeed; seed < firstSeed + seedCount; seed++) {
        const random = seededRandom(seed);
        const site = new LeaseSite();
        site.store.faults.set({ delay: 10, answerDelay: 10 });
        const takers = new Map<number, string>();
        let restore = site.store.saveCopy();
        for (let step = 0; step < 150; step++) {
            const index = random.below(holders.length);
            const lease = site.leases[index];
            assert.ok(lease);
            void (random.below(12) === 0 ? lease.release() : lease.poll());
            if (random.below(8) === 0) {
                restore = site.store.saveCopy();
            }
            else if (random.below(8) === 0) {
                restore();
            }
            await site.clock.advanceAsync(random.below(random.below(5) === 0 ? 1500 : 60), 5);
            for (const { fence, name } of site.leases.map(({ fence }, at) => ({ fence, name: holders[at] ?? "" }))) {
                if (fence !== undefined) {
                    assert.equal(takers.get(fence) ?? name, name, `seed ${seed}, fence ${fence}`);
                    takers.set(fence, name);
                }
            }
        }
        assert.ok(takers.size > 0, `seed ${seed}`);
    }
});
