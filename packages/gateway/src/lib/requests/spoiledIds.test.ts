import assert from "node:assert/strict";
import { test } from "node:test";
import { simulatedEvents } from "../testing/SimulatedTarget.js";
import { StreamSite } from "../testing/StreamSite.js";

/** Longer than any request may take, in milliseconds. */
const untilDeadline = 21_000;
const spoiledIds: readonly (string | undefined)[] = [
    undefined,
    "97",
    "3",
    "18",
    "16",
    "x",
    "",
    "1e2",
    "99999999999999999999",
];

async function stream(isResumable: boolean, event: number, id: string | undefined): Promise<StreamSite> {
    const site = new StreamSite({ isResumable, isResuming: true });
    site.heads[0]!.writeId = number => number === event ? id : `${number}`;
    site.open();
    await site.clock.advanceAsync(untilDeadline);
    return site;
}

// Guards against an answer that ends as complete without the events behind one whose id was spoiled.
test("a stream is whole though the id of one event was spoiled", async () => {
    for (const id of spoiledIds) {
        const site = await stream(true, 17, id);
        assert.equal(site.served.length, 1, `"${id}"`);
        assert.equal(site.arrivals, 2, `"${id}"`);
    }
});

// Guards against an event that comes twice, because it had lost its id when its run broke off.
test("an event that lost its id comes once, also if its run breaks off behind it", async () => {
    for (const breaksOff of [false, true]) {
        const site = new StreamSite({ isResuming: true });
        const [head] = site.heads;
        head!.writeId = id => {
            if (breaksOff && id === 17) {
                site.clock.schedule(() => head!.crash(), 1);
            }
            return id === 17 ? undefined : `${id}`;
        };
        site.open();
        await site.clock.advanceAsync(untilDeadline);
        assert.equal(site.served.length, 1);
    }
});

test("a stream that cannot be resumed is broken off when the ids of its events do not rise", async () => {
    for (const id of spoiledIds) {
        const { answers: [answer], arrivals } = await stream(false, 17, id);
        assert.equal(answer?.isComplete, false, `"${id}"`);
        assert.ok(!answer.body.includes("id: 97"), "what is in doubt was held");
        assert.equal(arrivals, 1);
    }
});

test("a stream is broken off if its caller has the event that may be the odd one", async () => {
    const { answers: [answer], arrivals } = await stream(true, 0, "9");
    assert.equal(answer?.isComplete, false);
    assert.equal(arrivals, 1);
});

// Guards against a stream that stays silent while runs are tried whose requests cannot be written.
test("a stream is broken off at once after an event whose id cannot be sent", async () => {
    for (const id of ["\u0001", "a\u007f", "\0"]) {
        const site = new StreamSite({ isResuming: true });
        const [head] = site.heads;
        head!.writeId = () => id;
        site.open();
        while (site.answers[0]?.body === "") {
            await site.clock.advanceAsync(1);
        }
        head!.crash();
        await site.clock.advanceAsync(10);
        const [answer] = site.answers;
        assert.deepEqual([answer?.isOver, answer?.isComplete, site.arrivals], [true, false, 1]);
    }
});

test("an event whose id jumps is held for a moment only, and the last one is delivered", async () => {
    for (const last of [20, simulatedEvents - 1]) {
        const site = new StreamSite({ isResuming: true });
        const [head] = site.heads;
        head!.writeId = id => {
            if (id === last) {
                head!.fallSilent(400);
            }
            return id < last ? `${id}` : `${id + 10}`;
        };
        site.open();
        await site.clock.advanceAsync(untilDeadline);
        const [answer] = site.answers;
        assert.equal(answer?.isComplete, true);
        assert.equal(answer.body.match(/^data/gm)?.length, simulatedEvents);
        assert.ok(answer.longestPause < 500);
        assert.equal(site.arrivals, 1);
    }
});

test("no answer ends as complete without being whole, whatever ids are spoiled and however runs follow each other", async () => {
    let served = 0;
    let opened = 0;
    for (let seed = 1; seed <= 30; seed++) {
        const site = new StreamSite({ seed, chains: 2 + seed % 3, maxAttempts: 4, isResuming: seed % 2 === 0 });
        const { clock, random, heads } = site;
        heads.forEach((head, index) => {
            const spoil = () => spoiledIds[Math.floor(random.next() * spoiledIds.length)]!;
            head.writeId = id => index < heads.length - 1 && random.next() < 0.01 ? spoil() : `${id}`;
        });
        for (let stream = 0; stream < 40; stream++) {
            site.open();
            if (random.next() < 0.1) {
                heads[Math.floor(random.next() * heads.length)]!.fallSilent(200 + Math.floor(random.next() * 1_200));
            }
            await clock.advanceAsync(20 + Math.floor(random.next() * 120));
        }
        await clock.advanceAsync(untilDeadline);
        opened += site.answers.length;
        served += site.served.length;
        const complete = site.answers.filter(answer => answer.statusCode === 200 && answer.isComplete);
        for (const { body } of complete) {
            assert.equal(body.match(/^data/gm)?.length, simulatedEvents, `seed ${seed}: ${body}`);
        }
    }
    assert.ok(served > opened * 0.9, `${served} of ${opened} served`);
});
