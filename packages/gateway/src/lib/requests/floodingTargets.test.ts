import assert from "node:assert/strict";
import { test } from "node:test";
import { type SimulatedAnswer } from "../testing/SimulatedAnswer.js";
import { type Flood } from "../testing/SimulatedTarget.js";
import { StreamSite } from "../testing/StreamSite.js";
import { maxEventBytes } from "./EventProgress.js";

/** Milliseconds of silence after which a caller abandons a stream. */
const callerPatience = 2_000;
/** Longer than any request may take, in milliseconds. */
const untilDeadline = 21_000;
const block = 65_536;

/** Repeats a text to about the size of a read. */
function repeat(text: string): Buffer {
    return Buffer.from(text.repeat(Math.floor(block / text.length)));
}

/** What a faulty target may send without ever completing an event that the caller lacks. */
const contents: Readonly<Record<string, Buffer>> = {
    "short lines": repeat("y\n"),
    "no line feed": repeat("y"),
    "blank lines": repeat("\n"),
    "carriage returns": repeat("\r"),
    "data lines": repeat("data: y\n"),
    comments: repeat(": y\n\n"),
    "lone ids": repeat("id: 99\n\n"),
    "an event that the caller has": repeat("id: 0\ndata: x\n\n"),
    "events that are cut": repeat("id: 0\ndata: x\n\n").subarray(0, -5),
};

function turnsInto(content: Buffer, after: number, interval = 1): Flood {
    return { content, interval, after };
}

// Guards against runs that bring bytes without an event until their callers leave, though another chain is free.
test("a stream that turns into bytes without end is continued over another chain", async () => {
    for (const [name, content] of Object.entries(contents)) {
        for (const [after, interval, size] of [[0, 1, block], [5, 1, block], [5, 20, 1], [1, 20, 1]] as const) {
            const site = new StreamSite();
            const part = interval === 1 ? content : content.subarray(0, size);
            site.heads[0]!.flood = turnsInto(
                part,
                name.includes("event") ? after + 1 : after,
                interval,
            );
            site.open();
            await site.clock.advanceAsync(untilDeadline);
            const label = `${name}, after ${after} events, each ${interval} ms`;
            assert.equal(site.served.length, 1, label);
            assert.ok((site.answers[0]?.longestPause ?? Infinity) < callerPatience, label);
        }
    }
});

test("a stream is continued in time after two runs in a row that bring a byte now and then", async () => {
    const site = new StreamSite({ chains: 3, maxAttempts: 3, isResuming: true });
    site.heads.slice(0, 2).forEach(head => head.flood = turnsInto(Buffer.from("y"), 5, 20));
    site.open();
    await site.clock.advanceAsync(untilDeadline);
    assert.equal(site.served.length, 1);
    assert.ok((site.answers[0]?.longestPause ?? Infinity) < callerPatience);
});

test("a run that brings bytes without an event is ended after the bytes of the largest event", async () => {
    for (const content of [...Object.values(contents), repeat("data: no id\n\n")]) {
        for (const isResumable of [false, true]) {
            const site = new StreamSite({ isResumable, chains: 1 });
            const head = site.heads[0]!;
            head.flood = turnsInto(content, 1);
            site.open();
            await site.clock.advanceAsync(untilDeadline);
            assert.ok(
                head.mostBytesWithoutEvent <= maxEventBytes + content.length,
                `${head.mostBytesWithoutEvent} bytes`,
            );
            assert.equal(head.running, 0);
        }
    }
});

test("an event as large as the largest one is delivered", async () => {
    const site = new StreamSite({ chains: 1 });
    const event = Buffer.from(`id: 1\ndata: ${"x".repeat(maxEventBytes - 100)}\n\n`);
    site.heads[0]!.flood = turnsInto(event, 1, 5_000);
    site.open();
    await site.clock.advanceAsync(1_000);
    assert.ok(site.answers[0]?.body.endsWith(event.toString()));
});

test("a stream that cannot be resumed is broken off as soon as its bytes have no end", async () => {
    const site = new StreamSite({ isResumable: false });
    site.heads[0]!.flood = turnsInto(contents["short lines"]!, 5);
    site.open();
    await site.clock.advanceAsync(500);
    const [answer] = site.answers;
    assert.ok(answer?.isOver === true && !answer.isComplete);
    assert.equal(site.arrivals, 1);
});

// Guards against streams that wait until their callers leave because each chain is avoided after a faulty run.
test("a stream goes on at once over a chain that has had a faulty run if there is no other", async () => {
    const site = new StreamSite({ isResuming: true, maxAttempts: 4 });
    const [head, other] = [site.heads[0]!, site.heads[1]!];
    head.flood = turnsInto(contents["short lines"]!, 3);
    other.flood = turnsInto(contents["short lines"]!, 6);
    site.open();
    while (other.arrivals === 0) {
        await site.clock.advanceAsync(1);
    }
    head.flood = undefined;
    await site.clock.advanceAsync(untilDeadline);
    assert.equal(site.served.length, 1);
    assert.ok((site.answers[0]?.longestPause ?? Infinity) < 500);
});

test("a run that repeats the answer from its start is not judged while its events go on", async () => {
    const site = new StreamSite();
    site.open();
    await site.clock.advanceAsync(850);
    site.heads[0]!.flood = turnsInto(contents["short lines"]!, 0);
    await site.clock.advanceAsync(untilDeadline);
    assert.equal(site.arrivals, 2);
    assert.equal(site.served.length, 1);
});

test("a target that pauses within an event is not judged by its silence", async () => {
    const site = new StreamSite();
    site.heads[0]!.flood = turnsInto(Buffer.from("id: 1\nda"), 1, 10_000);
    site.open();
    await site.clock.advanceAsync(1_900);
    assert.equal(site.arrivals, 1);
});

test("a chain that has brought bytes without end is used again soon after it is sound", async () => {
    const site = new StreamSite();
    const [head, other] = [site.heads[0]!, site.heads[1]!];
    head.flood = turnsInto(contents["short lines"]!, 5);
    site.open();
    await site.clock.advanceAsync(400);
    head.flood = undefined;
    const before = other.arrivals;
    site.open();
    assert.ok((await site.clock.advanceAsync(200), other.arrivals) > before, "the other chain is used first");
    await site.clock.advanceAsync(2_000);
    const earlier = head.arrivals;
    for (let stream = 0; stream < 4; stream++) {
        site.open();
    }
    await site.clock.advanceAsync(200);
    assert.ok(head.arrivals > earlier, "used again");
    await site.clock.advanceAsync(untilDeadline);
    assert.equal(site.served.length, site.answers.length);
});

const seeds = Array.from({ length: 30 }, (_, index) => index + 1);
const loadTime = 6_000;

/** Makes heads of chains flood at random. Only the first one floods slowly; of the others one is sound at a time. */
function scheduleFloods(site: StreamSite, end: number): void {
    if (site.clock.now() >= end) {
        return;
    }
    const { random, heads, clock } = site;
    const sound = 1 + Math.floor(random.next() * (heads.length - 1));
    heads.forEach((head, index) => {
        const content = Object.values(contents)[Math.floor(random.next() * Object.keys(contents).length)]!;
        const isSlow = index === 0 && random.next() < 0.5;
        const isFaulty = index !== sound && random.next() < 0.5;
        const after = 1 + Math.floor(random.next() * 38);
        head.flood = isFaulty
            ? turnsInto(isSlow ? content.subarray(0, 1) : content, after, isSlow ? 20 : 1)
            : undefined;
    });
    clock.schedule(() => scheduleFloods(site, end), 200 + Math.floor(random.next() * 1_500));
}

function scheduleArrivals(site: StreamSite, end: number): void {
    if (site.clock.now() < end) {
        site.open();
        site.clock.schedule(() => scheduleArrivals(site, end), 20 + Math.floor(site.random.next() * 120));
    }
}

test("no interleaving of floods holds bytes without end or leaves a caller silent while a chain is sound", async () => {
    const answers: SimulatedAnswer[] = [];
    for (const seed of seeds) {
        const site = new StreamSite({ seed, chains: 2 + seed % 3, maxAttempts: 8, isResuming: true });
        const end = site.clock.now() + loadTime;
        scheduleFloods(site, end);
        scheduleArrivals(site, end);
        await site.clock.advanceAsync(loadTime);
        site.heads.forEach(head => head.flood = undefined);
        await site.clock.advanceAsync(untilDeadline);
        answers.push(...site.answers);
        for (const head of site.heads) {
            // The first event of a run counts, also if the caller has it.
            assert.ok(head.mostBytesWithoutEvent <= maxEventBytes + 2 * block, `seed ${seed}`);
            assert.equal(head.running, 0, `seed ${seed}`);
        }
        const late = site.answers.filter(({ longestPause }) => longestPause >= callerPatience);
        assert.equal(late.length, 0, `seed ${seed}: ${late.length} of ${site.answers.length} silent too long`);
        assert.equal(site.cutOff.length, 0, `seed ${seed}: ${site.cutOff.length} of ${site.answers.length} cut off`);
    }
    assert.ok(answers.length > 1_500, `${answers.length} streams`);
});
