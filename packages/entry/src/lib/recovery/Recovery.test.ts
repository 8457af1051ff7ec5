import { failure, ManualClock, requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Recovery } from "./Recovery.js";

test("a retry is charged to the budget as refused or failed, according to its cause", () => {
    const spent: (string | undefined)[] = [];
    const recovery = new Recovery({
        retryBudget: {
            request: () => undefined,
            ended: () => undefined,
            spend: kind => spent.push(kind) > 0,
            backoff: () => 0,
        },
        clock: new ManualClock(),
        maxAttempts: 8,
        binding: undefined,
        mayHaveRunCode: requestCodes.outcomeUnknown,
        onRetry: () => undefined,
    });
    recovery.afterFailed(failure(requestCodes.overloaded, "full"), "target-1", false);
    recovery.afterFailed(failure(requestCodes.engineFailed, "broken"), "target-2", false);
    assert.deepEqual(spent, ["refused", "failed"]);
});
