import { MetricRegistry } from "@waxwingspar/telemetry";
import { type Random, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type PoolRequest, SlotGrants } from "../admission/SlotGrants.js";
import { type SlotPool } from "../admission/SlotPool.js";
import { incarnationOf } from "../directory/Target.js";
import { GatewayMetrics } from "../observation/Observation.js";
import { silentLogs } from "../testing/fixtures.js";
import { createGroupOfOne, streamRoute } from "../testing/SimulatedRouter.js";
import { type SimulatedDecision, SimulatedSlots } from "../testing/SimulatedSlots.js";
import { StreamSite, type StreamSiteOptions } from "../testing/StreamSite.js";

/** Longer than any request may take, in milliseconds. */
const untilDeadline = 21_000;

type SlotSiteOptions = StreamSiteOptions & {
    readonly decide: (pool: SlotPool, request: PoolRequest) => SimulatedDecision;
    readonly fullFor?: (pool: SlotPool) => number;
    readonly isFree?: (pool: SlotPool) => boolean;
};

/** Creates a site whose slots are granted as a test decides. */
function createSite({ decide, fullFor, isFree, ...options }: SlotSiteOptions) {
    const created: SimulatedSlots[] = [];
    const site = new StreamSite({
        ...options,
        createSlots: clock => {
            const slots = new SimulatedSlots({ clock, decide, fullFor, isFree });
            created.push(slots);
            return slots.source;
        },
    });
    const [slots] = created;
    assert.ok(slots !== undefined);
    return { site, slots };
}

function refuse(retryAfter: number): SimulatedDecision {
    return { kind: "refused", after: 5, retryAfter };
}
const grantAtOnce: SimulatedDecision = { kind: "granted", after: 0 };

const seeds = Array.from({ length: 30 }, (_, index) => index + 1);
const loadTime = 4_000;
const pauses = { arrival: 25, fault: 150 };

/** Crashes targets, makes them refuse or go silent, and lets callers leave. */
function disturb(site: StreamSite, random: Random): void {
    const head = site.heads[random.below(site.heads.length)];
    const kind = random.below(5);
    if (kind === 0) {
        head?.crash();
    }
    else if (kind === 1) {
        head?.fallSilent(random.below(3_000));
    }
    else if (kind === 2 && head !== undefined) {
        head.isRefusing = !head.isRefusing;
    }
    else if (kind === 3 && head !== undefined) {
        head.isDown = false;
    }
    else {
        site.answers[random.below(site.answers.length)]?.breakConnection();
    }
}

test("a slot is released exactly once, whatever ends a run", async () => {
    let granted = 0;
    for (const seed of seeds) {
        const random = seededRandom(seed + 100);
        const { site, slots } = createSite({
            seed,
            chains: 1 + seed % 3,
            maxAttempts: 1 + seed % 3,
            timeout: seed % 4 === 0 ? 700 : undefined,
            isFree: () => random.next() < 0.3,
            decide: () => random.next() < 0.7 ? { kind: "granted", after: random.below(120) } : refuse(200),
        });
        for (let time = 0; time < loadTime; time += pauses.arrival) {
            site.open();
            if (time % pauses.fault === 0) {
                disturb(site, random);
            }
            await site.clock.advanceAsync(pauses.arrival);
            for (const head of site.heads) {
                const held = slots.held(incarnationOf(head.target));
                assert.ok(head.running <= held, `seed ${seed}: ${head.running} runs with ${held} slots`);
            }
        }
        await site.clock.advanceAsync(untilDeadline);
        assert.equal(slots.heldAll, 0, `seed ${seed}: slots held after the last run`);
        assert.equal(slots.repeatedReleases, 0, `seed ${seed}: slots released twice`);
        assert.ok(site.answers.every(({ isOver }) => isOver), `seed ${seed}: answers without an end`);
        granted += slots.granted;
    }
    assert.ok(granted > seeds.length * 50, `${granted} slots granted`);
});

test("a slot that is granted after the caller has left is released", async () => {
    const { site, slots } = createSite({ decide: () => ({ kind: "granted", after: 50 }) });
    site.open();
    site.answers[0]?.breakConnection();
    await site.clock.advanceAsync(100);
    assert.deepEqual([slots.granted, slots.heldAll, site.arrivals], [1, 0, 0]);
});

test("a request without a slot reaches no target, uses no retry, and is told when to return", async () => {
    const { site, slots } = createSite({
        chains: 3,
        retryReserve: 5,
        decide: ({ dataCentre }) => refuse(dataCentre === "dc-0" ? 300.2 : 1_200),
    });
    site.open();
    await site.clock.advanceAsync(untilDeadline);
    const [answer] = site.answers;
    assert.deepEqual([answer?.statusCode, answer?.resultNumber, answer?.retryAfter], [503, 1022, 0.301]);
    // Each data centre is asked for a free slot. The first one is then asked to hold the request, and promises a time.
    assert.deepEqual(
        slots.asked.map(({ dataCentre, request }) => [dataCentre, request.maxHold > 0]),
        [["dc-0", false], ["dc-1", false], ["dc-2", false], ["dc-0", true]],
    );
    assert.equal(site.arrivals, 0);
    const { budget } = site.router.context;
    assert.deepEqual(Array.from({ length: 5 }, () => budget.take("running")), [true, true, true, true, false]);
});

test("a request that a full head refused, and that gets no other slot, is refused without a retry", async () => {
    const { site, slots } = createSite({
        chains: 2,
        retryReserve: 5,
        decide: ({ dataCentre }) => dataCentre === "dc-0" ? grantAtOnce : refuse(300),
    });
    site.heads.slice(0, 1).forEach(head => head.isRefusing = true);
    site.open();
    await site.clock.advanceAsync(1_000);
    assert.deepEqual([site.arrivals, slots.heldAll, site.answers[0]?.resultNumber], [1, 0, 1022]);
    const { budget } = site.router.context;
    assert.deepEqual(Array.from({ length: 5 }, () => budget.take("running")), [true, true, true, true, false]);
});

test("a data centre that is known to be full is not asked after another one", async () => {
    const { site, slots } = createSite({
        chains: 3,
        fullFor: ({ dataCentre }) => dataCentre === "dc-1" ? 100 : 0,
        decide: ({ dataCentre }) => dataCentre === "dc-2" ? grantAtOnce : refuse(400),
    });
    site.open();
    await site.clock.advanceAsync(untilDeadline);
    assert.deepEqual(slots.asked.map(({ dataCentre }) => dataCentre), ["dc-0", "dc-2"]);
    assert.equal(site.served.length, 1);
});

test("all asks for a new request together hold it for at most an eighth of its latency target", async () => {
    const { site, slots } = createSite({
        chains: 2,
        decide: (_, { maxHold }) => ({ kind: "refused", after: maxHold, retryAfter: 400 }),
    });
    site.open();
    await site.clock.advanceAsync(1_000, 1);
    const holds = slots.asked.map(({ request }) => request.maxHold);
    assert.deepEqual(holds.slice(0, -1), [0, 0]);
    assert.ok((holds.at(-1) ?? 0) > 50 && (holds.at(-1) ?? 0) <= streamRoute.latencyTarget / 8, `${holds.at(-1)}`);
    assert.equal(slots.asked[0]?.request.precedence, "waiting");
});

test("an interrupted stream asks with precedence, again and again while its caller waits", async () => {
    let isFull = false;
    const { site, slots } = createSite({ decide: () => isFull ? refuse(400) : grantAtOnce });
    site.open();
    await site.clock.advanceAsync(500);
    isFull = true;
    site.heads[0]?.crash();
    await site.clock.advanceAsync(1_000);
    isFull = false;
    await site.clock.advanceAsync(untilDeadline);
    const [, ...asked] = slots.asked;
    assert.ok(asked.every(({ request }) => request.precedence === "running"));
    const [resumed, ...others] = asked.filter(({ request }) => request.maxHold > 0);
    const maxHold = resumed?.request.maxHold ?? 0;
    assert.ok(maxHold > 1_000 && maxHold <= 1_200, `${maxHold}`);
    assert.ok(others.length >= 2);
    assert.equal(site.served.length, 1);
});

test("a suspected chain's second send is not made while no slot is free, and the first run goes on", async () => {
    let isFull = false;
    const { site, slots } = createSite({ decide: () => isFull ? refuse(400) : grantAtOnce });
    site.open();
    site.open();
    await site.clock.advanceAsync(500);
    isFull = true;
    site.heads[0]?.fallSilent(1_200);
    await site.clock.advanceAsync(untilDeadline);
    assert.ok(slots.asked.length > 2);
    assert.ok(slots.asked.slice(2).every(({ request }) => request.maxHold <= 300));
    assert.deepEqual([site.arrivals, site.served.length], [2, 2]);
});

test("a stream that a full head refuses goes to another chain with a slot of that chain", async () => {
    const { site, slots } = createSite({ decide: () => grantAtOnce });
    site.heads.slice(0, 1).forEach(head => head.isRefusing = true);
    site.open();
    await site.clock.advanceAsync(untilDeadline);
    assert.deepEqual([site.arrivals, site.served.length, slots.granted, slots.heldAll], [2, 1, 2, 0]);
});

test("targets are told the rank of new requests, and that resumed streams come first", async () => {
    const { site } = createSite({ decide: () => grantAtOnce });
    site.open();
    await site.clock.advanceAsync(500);
    site.heads[0]?.crash();
    await site.clock.advanceAsync(untilDeadline);
    assert.deepEqual(site.priorities, [2 + streamRoute.priority, 0]);
});

/** Opens streams below capacity, and returns when each answer ended and what it said. */
async function playBelowCapacity(seed: number, isOn: boolean) {
    const site = new StreamSite({
        seed,
        chains: 3,
        isOn: mechanism => isOn || mechanism !== "slot-admission",
        createSlots: clock =>
            new SlotGrants({
                clock,
                random: seededRandom(seed),
                group: createGroupOfOne("dc-0"),
                observation: { logs: silentLogs(), metrics: new GatewayMetrics(new MetricRegistry(clock)) },
                chainLoad: () => 0,
            }),
    });
    const ends: string[] = [];
    for (let time = 0; time < loadTime; time += pauses.arrival) {
        const number = site.answers.length;
        site.open();
        const answer = site.answers[number];
        answer?.whenOver(() => ends.push(`${number} ${site.clock.now()} ${answer.statusCode} ${answer.body.length}`));
        await site.clock.advanceAsync(pauses.arrival);
    }
    await site.clock.advanceAsync(untilDeadline);
    return { ends, arrivals: site.arrivals };
}

test("below capacity callers notice nothing", async () => {
    for (const seed of seeds.slice(0, 5)) {
        assert.deepEqual(await playBelowCapacity(seed, true), await playBelowCapacity(seed, false));
    }
});
