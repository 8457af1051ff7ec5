import assert from "node:assert/strict";
import { test } from "node:test";
import { callEach } from "./callEach.js";

// Guards against requests that wait behind one whose callback throws, and are never begun.
test("each function is called once and in order, whichever throw", () => {
    for (let failing = 0; failing < 1 << 4; failing++) {
        const called: number[] = [];
        const errors: string[] = [];
        const callbacks = [0, 1, 2, 3].map(index => () => {
            called.push(index);
            if ((failing & (1 << index)) !== 0) {
                throw new Error(`${index}`);
            }
        });
        callEach(callbacks, error => errors.push((error as Error).message));
        assert.deepEqual(called, [0, 1, 2, 3]);
        assert.deepEqual(errors, called.filter(index => (failing & (1 << index)) !== 0).map(String));
    }
});
