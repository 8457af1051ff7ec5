import { ManualClock } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createWorkQueue } from "./createWorkQueue.js";

type ItemState = "offered" | "started" | "refused" | "cancelled" | "finished";

const command = fc.oneof(
    fc.record({
        kind: fc.constant("offer" as const),
        organisation: fc.integer({ min: 0, max: 3 }),
        priority: fc.integer({ min: 0, max: 2 }),
        startBound: fc.integer({ min: 1, max: 2000 }),
        timeLeft: fc.integer({ min: 0, max: 3000 }),
    }),
    fc.record({ kind: fc.constant("finish" as const), pick: fc.nat() }),
    fc.record({ kind: fc.constant("cancel" as const), pick: fc.nat() }),
    fc.record({ kind: fc.constant("observe" as const), firstToken: fc.integer({ min: 0, max: 3000 }) }),
    fc.record({ kind: fc.constant("advance" as const), duration: fc.integer({ min: 1, max: 1000 }) }),
    fc.record({
        kind: fc.constant("setShare" as const),
        pick: fc.nat({ max: 3 }),
        share: fc.integer({ min: 1, max: 5 }),
    }),
);

test("every item ends exactly once under any interleaving of operations", () => {
    fc.assert(
        fc.property(fc.array(command, { maxLength: 120 }), commands => {
            const clock = new ManualClock();
            const queue = createWorkQueue({ clock, slots: 3, capacity: 5, initialHold: 200 });
            const itemStates = new Map<string, ItemState>();
            const move = (id: string, from: ItemState, to: ItemState) => {
                assert.equal(itemStates.get(id), from, `${id} cannot become ${to}`);
                itemStates.set(id, to);
            };
            const itemsIn = (itemState: ItemState) =>
                [...itemStates].filter(([, current]) => current === itemState).map(([id]) => id);
            let count = 0;
            for (const step of commands) {
                const id = "pick" in step
                    ? pickFrom(itemsIn(step.kind === "cancel" ? "offered" : "started"), step.pick)
                    : "";
                switch (step.kind) {
                    case "offer": {
                        const offered = String(count++);
                        itemStates.set(offered, "offered");
                        const outcome = queue.offer({
                            ...step,
                            id: offered,
                            organisation: String(step.organisation),
                            cost: 100,
                            start: () => move(offered, "offered", "started"),
                            refuse: () => move(offered, "offered", "refused"),
                        });
                        if (outcome.isErr) {
                            move(offered, "offered", "refused");
                        }
                        break;
                    }
                    case "finish":
                        if (id !== undefined) {
                            move(id, "started", "finished");
                            queue.finish(id, 100);
                        }
                        break;
                    case "cancel":
                        if (id !== undefined) {
                            assert.equal(queue.cancel(id), true);
                            move(id, "offered", "cancelled");
                        }
                        break;
                    case "observe":
                        queue.observe(step.firstToken, undefined);
                        break;
                    case "advance":
                        clock.advance(step.duration);
                        break;
                    case "setShare":
                        queue.setShare(String(step.pick), step.share);
                        break;
                }
                assert.equal(queue.running, itemsIn("started").length);
                assert.equal(queue.queued, itemsIn("offered").length);
                assert.ok(queue.running <= 3 && queue.queued <= 5);
            }
            clock.advance(10_000);
            assert.equal(queue.queued, 0, "no item stays queued after its bound");
        }),
        { numRuns: 300 },
    );
});

function pickFrom(ids: readonly string[], pick: number): string | undefined {
    return ids[pick % Math.max(1, ids.length)];
}
