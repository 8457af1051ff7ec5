import { type Clock, type Random, seededRandom, sleep } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { StreamSite } from "../testing/StreamSite.js";
import { unlimitedSlots } from "../testing/unlimitedSlots.js";
import { type RequestContext } from "./RequestContext.js";

/** Milliseconds between two steps, in each of which a caller may come, and one may leave. */
const step = 20;
const steps = 500;
/** Longer than any request may take, in milliseconds. */
const untilDeadline = 21_000;

/** Slots whose issuer answers late, and refuses some. */
function lateSlots(clock: Clock, random: Random): RequestContext["slots"] {
    return {
        ...unlimitedSlots,
        tryLocal: () => undefined,
        acquire: async (pool, { maxHold }) => {
            await sleep(clock, random.next() * maxHold);
            return random.next() < 0.2
                ? { kind: "refused", reason: "full", retryAfter: 100, held: 0 }
                : unlimitedSlots.acquire(pool, { id: "" } as never);
        },
    };
}

/** Makes a random head crash, refuse, or name a limit, or ends that. */
function disturb({ heads }: StreamSite, random: Random): void {
    const head = heads[Math.floor(random.next() * heads.length)];
    const drawn = random.next();
    if (head === undefined) {
        return;
    }
    if (drawn < 0.2 && heads.filter(({ isDown }) => !isDown).length > 1) {
        head.crash();
    }
    else if (drawn < 0.6) {
        head.isRefusing = !head.isRefusing && head !== heads[0];
    }
    else {
        head.limit = drawn < 0.8 ? 3 : undefined;
    }
}

test("nothing begins or goes on for callers that left while they waited for a slot, a permit, a chain or a resume", async () => {
    let total = 0;
    for (let seed = 1; seed <= 20; seed++) {
        const random = seededRandom(seed);
        const arrivals: string[] = [];
        const site: StreamSite = new StreamSite({
            seed,
            chains: 3,
            accelerator: "small",
            createSlots: clock => lateSlots(clock, random),
            isOn: mechanism => mechanism !== "slot-admission" || seed % 2 === 0,
            onArrival: body => {
                arrivals.push(body);
                const answer = site.answers[Number(body.split(" ")[1])];
                assert.ok(
                    answer?.presence.hasLeft !== true,
                    `seed ${seed}: ${body} was sent after its caller had left`,
                );
            },
        });
        for (let count = 0; count < steps; count++) {
            if (random.next() < 0.7) {
                site.open();
            }
            if (random.next() < 0.6) {
                site.answers[Math.floor(random.next() * site.answers.length)]?.breakConnection();
            }
            if (random.next() < 0.05) {
                disturb(site, random);
            }
            await site.clock.advanceAsync(step);
        }
        site.answers.forEach(answer => answer.breakConnection());
        await site.clock.advanceAsync(step);
        assert.equal(site.targets.reduce((sum, { running }) => sum + running, 0), 0, `seed ${seed}: runs go on`);
        const before = arrivals.length;
        await site.clock.advanceAsync(untilDeadline);
        assert.equal(arrivals.length, before, `seed ${seed}: sent after all had left`);
        total += before;
    }
    assert.ok(total > 1_000, `only ${total} requests were sent`);
});
