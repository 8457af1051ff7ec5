import { CachedEraStore, MemoryObjectStore, MemoryTableStore, TokenBucket } from "@waxwingspar/stores";
import { ManualClock, type Outcome, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { type Claim, type ClaimRequest } from "../../Claims.js";
import { type ReportedClaim } from "../../recovery/ClaimReport.js";
import { Runners } from "../../testing/Runners.js";
import { ClaimJournal, type ClaimJournalOptions } from "../ClaimJournal.js";

/** The stores of a partition, on a manual clock, and any number of owners of it. */
export class JournalSite {
    readonly clock = new ManualClock();
    readonly table = new MemoryTableStore({ clock: this.clock });
    readonly objects = new MemoryObjectStore({ clock: this.clock });
    /** The processes that run claims. */
    readonly runners = new Runners();
    /** The live owners, which report the claims that they know. */
    private readonly owners = new Set<ClaimJournal>();

    /** Starts an owner with a rate in writes per second. */
    owner(options: Partial<ClaimJournalOptions> = {}, rate = 1000): ClaimJournal {
        const { clock, objects } = this;
        const table = new CachedEraStore(this.table);
        const bucket = new TokenBucket({ clock, rate });
        const pace = () => bucket.take(Infinity) ?? 0;
        const collectReports = this.runners.collector(before => this.reports(before));
        const random = seededRandom(1);
        const owner = new ClaimJournal({
            partition: 0,
            clock,
            table,
            objects,
            pace,
            random,
            collectReports,
            ...options,
        });
        this.owners.add(owner);
        return owner;
    }

    /** Stops an owner and discards its memory. */
    kill(owner: ClaimJournal): void {
        this.owners.delete(owner);
    }

    private reports(before: number): ReportedClaim[] {
        return [...this.owners].flatMap(owner => owner.report()).filter(({ generation }) => generation < before);
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

/** A request with a key and default values for all other fields. */
export function request(key: string, changes: Partial<ClaimRequest> = {}): ClaimRequest {
    const runner = { target: "a", incarnation: "1" };
    return { route: "r", organisation: "o", key, digest: "d", runner, retention: 60_000, ...changes };
}

/** The granted claim of an outcome; the assertion fails if there is none. */
export function claimOf(outcome: Outcome<Claim>): Claim {
    assert.ok(outcome.isOk);
    return outcome.value;
}
