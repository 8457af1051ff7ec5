import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { IndexedHeap } from "./IndexedHeap.js";

test("the heap returns members in the order of a sorted list after any sequence of edits", () => {
    const edit = fc.record({
        key: fc.integer({ min: 0, max: 9 }),
        rank: fc.integer({ min: 0, max: 5 }),
        add: fc.boolean(),
    });
    fc.assert(fc.property(fc.array(edit, { maxLength: 60 }), edits => {
        const heap = new IndexedHeap<string>();
        let list: { key: string; rank: number; }[] = [];
        for (const { key: number, rank, add } of edits) {
            const key = String(number);
            list = list.filter(entry => entry.key !== key);
            if (add) {
                list.push({ key, rank });
                heap.set(key, rank, key);
            }
            else {
                heap.delete(key);
            }
        }
        const expected = list.sort((a, b) => a.rank - b.rank).map(entry => entry.key);
        const popped: string[] = [];
        for (let next = heap.pop(); next !== undefined; next = heap.pop()) {
            popped.push(next);
        }
        assert.deepEqual(popped, expected);
    }));
});
