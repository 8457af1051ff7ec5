import { MemoryObjectStore, MemoryTableStore, TokenBucket } from "@waxwingspar/stores";
import { ManualClock, type Outcome, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { type Claim, type ClaimRequest } from "../../Claims.js";
import { ClaimJournal, type ClaimJournalOptions } from "../ClaimJournal.js";

/** The stores of a partition, on a manual clock, and any number of owners of it. */
export class JournalSite {
    readonly clock = new ManualClock();
    readonly table = new MemoryTableStore({ clock: this.clock });
    readonly objects = new MemoryObjectStore({ clock: this.clock });

    /** A new owner; `rate` is its writes per second. */
    owner(options: Partial<ClaimJournalOptions> = {}, rate = 1000): ClaimJournal {
        const { clock, table, objects } = this;
        const bucket = new TokenBucket({ clock, rate });
        const pace = () => bucket.take(Infinity) ?? 0;
        return new ClaimJournal({ partition: 0, clock, table, objects, pace, random: seededRandom(1), ...options });
    }

    async wait<T>(call: Promise<T>): Promise<T> {
        let open = true;
        void call.finally(() => open = false);
        while (open) {
            await this.clock.advanceAsync(5, 5);
        }
        return call;
    }

    async rows(prefix: string): Promise<string[]> {
        return (await this.table.scan(prefix, "", 1000)).unwrapOr([]).map(({ key }) => key);
    }
}

/** A request with a key, as one of many alike. */
export function request(key: string, changes: Partial<ClaimRequest> = {}): ClaimRequest {
    const runner = { target: "a", incarnation: "1" };
    return { route: "r", organisation: "o", key, digest: "d", runner, retention: 60_000, ...changes };
}

/** The claim that was granted; fails when none was. */
export function claimOf(outcome: Outcome<Claim>): Claim {
    assert.ok(outcome.isOk);
    return outcome.value;
}
