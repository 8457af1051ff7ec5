import { ManualClock, requestCodes, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createOrganisationLimits } from "./createOrganisationLimits.js";
import { type LimitSpec } from "./OrganisationLimits.js";

/** Entries that share a list of live entries. */
class Fleet {
    readonly clock = new ManualClock();
    live: number[];
    private readonly entries;

    constructor(count: number) {
        this.live = Array.from({ length: count }, (_, index) => index);
        this.entries = this.live.map(name =>
            createOrganisationLimits({
                clock: this.clock,
                part: () => ({ index: this.live.indexOf(name), count: this.live.length }),
            })
        );
    }

    /** Sends one request to each live entry. Returns the release functions of the admitted requests. */
    offer(spec: LimitSpec, organisation = "ports"): (() => void)[] {
        return this.live.flatMap(name => {
            const admitted = this.entries[name]?.admit(organisation, spec);
            return admitted?.isOk === true ? [admitted.value] : [];
        });
    }

    /** Offers a load far above the limits for the given time. Returns the number of admitted requests. */
    flood(spec: LimitSpec, seconds: number): number {
        let taken = 0;
        for (let step = 0; step < seconds * 100; step++) {
            this.clock.advance(10);
            taken += this.offer(spec).length;
        }
        return taken;
    }
}

test("a rate limit holds over three entries together", () => {
    const taken = new Fleet(3).flood({ requestsPerSecond: 9 }, 20);
    // The bursts of three entries, of 4 requests each, are added to 180.
    assert.ok(taken >= 177 && taken <= 192, `${taken}`);
});

test("random arrivals below the limit are rarely refused when the limit is split over many entries", () => {
    const clock = new ManualClock();
    const random = seededRandom(7);
    const part = (index: number) => ({ index, count: 40 });
    const entries = Array.from(
        { length: 40 },
        (_, index) => createOrganisationLimits({ clock, part: () => part(index) }),
    );
    let taken = 0;
    for (let sent = 0; sent < 8000; sent++) {
        clock.advance(-Math.log(1 - random.next()) / 80 * 1000);
        const entry = entries[Math.floor(random.next() * entries.length)];
        taken += entry?.admit("ports", { requestsPerSecond: 100 }).isOk === true ? 1 : 0;
    }
    assert.ok(taken > 0.92 * 8000, `${taken} of 8000`);
});

test("an entry's share below one request per second is enforced", () => {
    const taken = new Fleet(3).flood({ requestsPerSecond: 0.5 }, 100);
    assert.ok(taken >= 48 && taken <= 53, `${taken}`);
});

test("tokens unused during an idle second allow a burst later", () => {
    const fleet = new Fleet(1);
    fleet.flood({ requestsPerSecond: 10 }, 5);
    fleet.clock.advance(1000);
    const taken = Array.from({ length: 20 }, () => fleet.offer({ requestsPerSecond: 10 }).length);
    assert.equal(taken.reduce((sum, count) => sum + count, 0), 10);
});

test("a refusal returns the time until the next token", () => {
    const clock = new ManualClock();
    const limits = createOrganisationLimits({ clock });
    const spec = { requestsPerSecond: 0.5 };
    assert.ok(limits.admit("ports", spec).isOk);
    clock.advance(500);
    const refused = limits.admit("ports", spec);
    assert.ok(refused.isErr);
    assert.equal(refused.error.code, requestCodes.limitReached);
    assert.equal(refused.error.retryAfter, 1500);
    clock.advance(1500);
    assert.ok(limits.admit("ports", spec).isOk);
});

test("live entries take over the share of a dead entry and cede a share to a new one", () => {
    const fleet = new Fleet(3);
    fleet.flood({ requestsPerSecond: 9 }, 10);
    fleet.live = [0, 2];
    const two = fleet.flood({ requestsPerSecond: 9 }, 20);
    assert.ok(two >= 174 && two <= 186, `two entries ${two}`);
    fleet.live = [0, 1, 2];
    const three = fleet.flood({ requestsPerSecond: 9 }, 20);
    assert.ok(three >= 174 && three <= 189, `three entries ${three}`);
});

test("the entries' shares of a concurrency limit add up to the limit", () => {
    for (const organisation of ["ports", "depots", "yards"]) {
        const fleet = new Fleet(3);
        const spec = { maxInFlight: 10 };
        const releases = Array.from({ length: 10 }, () => fleet.offer(spec, organisation)).flat();
        assert.equal(releases.length, 10);
        releases[0]?.();
        releases[0]?.();
        assert.equal(fleet.offer(spec, organisation).length, 1);
    }
});

test("every entry admits one request when the concurrency limit is below the number of entries", () => {
    const fleet = new Fleet(3);
    assert.equal([fleet.offer({ maxInFlight: 1 }), fleet.offer({ maxInFlight: 1 })].flat().length, 3);
});

test("a changed limit takes effect with the next request", () => {
    const fleet = new Fleet(3);
    fleet.flood({ requestsPerSecond: 9 }, 10);
    const faster = fleet.flood({ requestsPerSecond: 30 }, 10);
    assert.ok(faster >= 285 && faster <= 330, `${faster}`);
    const slower = fleet.flood({ requestsPerSecond: 3 }, 20);
    assert.ok(slower >= 57 && slower <= 66, `${slower}`);
    assert.equal(fleet.flood({}, 1), 300);
    // Requests admitted without a limit count towards a limit set later.
    assert.equal(fleet.offer({ maxInFlight: 300 }).length, 0);
});

test("removing idle accounts does not reset the limits of active organisations", () => {
    const clock = new ManualClock();
    const limits = createOrganisationLimits({ clock });
    const spec = { requestsPerSecond: 0.1, maxInFlight: 1 };
    assert.ok(limits.admit("ports", spec).isOk);
    for (let i = 0; i < 5000; i++) {
        limits.admit(`other-${i}`, {}).map(release => release());
    }
    assert.ok(limits.admit("ports", spec).isErr);
    assert.ok(limits.admit("ports", { requestsPerSecond: 0.1 }).isErr);
});
