import { ManualClock } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "./RetryBudget.js";

const window = 10_000;

function createBudget(gateways = 5) {
    const clock = new ManualClock();
    return { clock, budget: new RetryBudget({ clock, window, share: 0.2, reserve: 200, gateways: () => gateways }) };
}

test("the reserve is shared by all gateways", () => {
    const { budget } = createBudget(5);
    let taken = 0;
    while (budget.take("running")) {
        taken++;
    }
    assert.ok(taken <= 200 / 5);
    assert.ok(taken > 20);
});

test("requests add to the budget", () => {
    const [idle, busy] = [createBudget(), createBudget()];
    Array.from({ length: 1_000 }, () => busy.budget.request());
    const count = ({ budget }: typeof idle) => {
        let taken = 0;
        while (budget.take("running")) {
            taken++;
        }
        return taken;
    };
    assert.ok(count(busy) > count(idle) + 100);
});

test("requests without any output leave a part of the budget to streams that have begun", () => {
    const { budget } = createBudget(1);
    let waiting = 0;
    while (budget.take("waiting")) {
        waiting++;
    }
    let running = 0;
    while (budget.take("running")) {
        running++;
    }
    assert.ok(waiting > 80);
    assert.ok(running > 50);
});

test("no window exceeds the share and the reserve", () => {
    fc.assert(
        fc.property(fc.array(fc.tuple(fc.nat(400), fc.boolean()), { maxLength: 400 }), steps => {
            const { clock, budget } = createBudget(1);
            const requests: number[] = [];
            const retries: number[] = [];
            for (const [delay, isRequest] of steps) {
                clock.advance(delay);
                if (isRequest) {
                    budget.request();
                    requests.push(clock.now());
                }
                for (let i = 0; i < 20 && budget.take("running"); i++) {
                    retries.push(clock.now());
                }
                const start = clock.now() - window;
                const inWindow = (times: number[]) => times.filter(time => time >= start).length;
                assert.ok(inWindow(retries) <= 0.2 * inWindow(requests) + 200);
            }
        }),
        { numRuns: 40 },
    );
});
