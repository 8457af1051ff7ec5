import { ManualClock } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Holding, MemoryBudget } from "./MemoryBudget.js";

const maxBytes = 100;

interface Client {
    readonly holding: Holding;
    isDue: boolean;
    isClosed: boolean;
}

function openClient(budget: MemoryBudget, isDue = true): Client {
    const client: Client = {
        holding: budget.open({
            isClientDue: () => client.isDue,
            close: () => {
                client.isClosed = true;
            },
        }),
        isDue,
        isClosed: false,
    };
    return client;
}

test("the client that holds most and moves least makes room", () => {
    const clock = new ManualClock();
    const budget = new MemoryBudget({ clock, maxBytes });
    const [hoarder, slow, ordinary, late] = Array.from({ length: 4 }, () => openClient(budget));
    assert.ok(hoarder && slow && ordinary && late);
    budget.reserve(hoarder.holding, 60);
    budget.reserve(slow.holding, 30);
    clock.advance(1_000);
    budget.reserve(ordinary.holding, 10);
    hoarder.holding.move(1);
    assert.equal(budget.reserve(late.holding, 40), true);
    assert.deepEqual([hoarder, slow, ordinary, late].map(({ isClosed }) => isClosed), [true, false, false, false]);
});

test("a client whose request runs is never closed for others, who are refused", () => {
    const clock = new ManualClock();
    const budget = new MemoryBudget({ clock, maxBytes });
    const running = openClient(budget, false);
    const next = openClient(budget);
    budget.reserve(running.holding, 90);
    clock.advance(10_000);
    assert.equal(budget.reserve(next.holding, 20), false);
    assert.deepEqual([running.isClosed, next.isClosed, budget.used], [false, false, 90]);
});

test("whatever clients hold in whatever order, the budget holds and only clients that are due are closed", () => {
    const action = fc.record({
        client: fc.nat({ max: 7 }),
        kind: fc.constantFrom("reserve", "add", "release", "due", "move", "close", "wait"),
        bytes: fc.integer({ min: 1, max: 120 }),
    });
    fc.assert(fc.property(fc.array(action, { maxLength: 80 }), actions => {
        const clock = new ManualClock();
        const budget = new MemoryBudget({ clock, maxBytes });
        const clients = Array.from({ length: 8 }, () => openClient(budget));
        const sum = () => clients.reduce((total, { holding }) => total + holding.bytes, 0);
        for (const { client: index, kind, bytes } of actions) {
            const client = clients[index]!;
            const before = clients.map(({ isClosed }) => isClosed);
            switch (kind) {
                case "reserve":
                    if (budget.reserve(client.holding, bytes)) {
                        assert.ok(
                            budget.used <= maxBytes || clients.every(({ isDue, isClosed }) => !isDue || isClosed),
                        );
                    }
                    break;
                case "add":
                    budget.add(client.holding, bytes);
                    assert.ok(
                        budget.used <= maxBytes || clients.every(({ isDue, holding }) => !isDue || holding.bytes === 0),
                    );
                    break;
                case "release":
                    budget.release(client.holding, Math.min(bytes, client.holding.bytes));
                    break;
                case "due":
                    client.isDue = !client.isDue;
                    break;
                case "move":
                    client.holding.move(bytes * 1_000);
                    break;
                case "close":
                    budget.close(client.holding);
                    break;
                case "wait":
                    clock.advance(bytes);
                    break;
            }
            const closed = clients.filter(({ isClosed }, at) => isClosed && !before[at]);
            assert.ok(closed.every(({ isDue }) => isDue));
            assert.equal(budget.used, sum());
        }
    }));
});
