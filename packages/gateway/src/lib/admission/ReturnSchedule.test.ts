import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReturnSchedule } from "./ReturnSchedule.js";

function createSchedule(freedRate: number | undefined = 0.134) {
    const clock = new ManualClock(5_000);
    const schedule = new ReturnSchedule({ clock, random: seededRandom(7), freedRate: () => freedRate });
    let refused = 0;
    const refuse = (timeLeft = 20_000, rank = 0) => schedule.refuse({ digest: `${refused++}`, rank, timeLeft }, 50);
    return { clock, schedule, refuse };
}

test("returns come no faster than slots are left by first attempts", () => {
    const { clock, schedule, refuse } = createSchedule();
    for (let i = 0; i < 400; i++) {
        schedule.noteFirstAttempt(0);
        clock.advance(10);
    }
    // 134 slots a second are freed and 100 asked for, which leaves 34.
    const times = Array.from({ length: 60 }, () => refuse()).sort((a, b) => a - b);
    for (const start of times) {
        const inHalfSecond = times.filter(time => time >= start && time < start + 500).length;
        assert.ok(inHalfSecond <= 22, `${inHalfSecond} returns in 500 ms`);
    }
    assert.ok(times.at(-1)! < 2_500);
});

test("returns of a crowd without expected capacity are spread", () => {
    for (const { refuse } of [createSchedule(undefined), createSchedule(0.001)]) {
        const times = Array.from({ length: 300 }, () => refuse());
        const inSlices = Array.from(
            { length: 15 },
            (_, slice) => times.filter(time => time >= slice * 200 && time < slice * 200 + 200).length,
        );
        assert.ok(Math.max(...inSlices) < 45, `${inSlices.join(" ")}`);
    }
});

test("a return is at most a third of the caller's time left ahead", () => {
    for (const rate of [undefined, 0, 0.0001, 0.134]) {
        const { refuse } = createSchedule(rate);
        for (let i = 0; i < 200; i++) {
            assert.ok(refuse(1_500) <= 500);
        }
        assert.equal(refuse(0), 0);
    }
});

test("less urgent callers return after more urgent ones", () => {
    const { refuse } = createSchedule();
    const mean = (times: number[]) => times.reduce((sum, time) => sum + time, 0) / times.length;
    const urgent = Array.from({ length: 100 }, () => refuse(20_000, 0));
    const less = Array.from({ length: 100 }, () => refuse(20_000, 2));
    assert.ok(mean(less) > mean(urgent) + 500);
});

test("callers that return early keep their time, and are recognised when it comes", () => {
    const { clock, schedule } = createSchedule();
    const attempt = { digest: "x", rank: 0, timeLeft: 20_000 };
    assert.equal(schedule.classify("x"), "new");
    const told = schedule.refuse(attempt, 1_000);
    clock.advance(told / 2);
    assert.equal(schedule.classify("x"), "early");
    assert.equal(schedule.refuse(attempt, 1_000), told / 2);
    clock.advance(told / 2);
    assert.equal(schedule.classify("x"), "asTold");
    schedule.forget("x");
    assert.equal(schedule.classify("x"), "new");
});

test("a refused request is forgotten after the longest deadline", () => {
    const { clock, schedule } = createSchedule();
    const told = schedule.refuse({ digest: "x", rank: 0, timeLeft: 20_000 }, 50);
    clock.advance(told + 20_001);
    assert.equal(schedule.classify("x"), "new");
});

test("callers that send equal requests are told different times", () => {
    const { clock, schedule } = createSchedule();
    const times = Array.from({ length: 105 }, () => {
        clock.advance(1);
        return Math.round(clock.now() + schedule.refuse({ digest: "x", rank: 0, timeLeft: 20_000 }, 50));
    });
    assert.ok(new Set(times.slice(5)).size > 80);
    assert.equal(schedule.classify("x"), "new");
});
