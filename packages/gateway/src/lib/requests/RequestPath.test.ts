import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ReceivedRequest } from "../server/CallerServer.js";
import { RequestPath } from "./RequestPath.js";
import { type RequestRouter } from "./RequestRouter.js";

// Guards against requests that wait in a queue at the end of a stop and are cut without an answer.
test("requests that wait for the start or for their turn are refused at the end of a stop, and not begun later", async () => {
    for (const isReady of [false, true]) {
        const clock = new ManualClock();
        const refused: unknown[] = [];
        const begun: unknown[] = [];
        let endBurst: () => void = () => undefined;
        const router = {
            handle: request => begun.push(request.response),
            refuseStopping: response => refused.push(response),
        } as Partial<RequestRouter> as RequestRouter;
        const path = new RequestPath({
            clock,
            router,
            loop: { inputAge: 0 },
            bursts: { isActive: true, whenOver: callback => void (endBurst = callback) },
            isOn: () => true,
            isReady: () => isReady,
        });
        const responses = Array.from({ length: 5 }, (_, number) => ({ number }));
        responses.forEach((response, number) => {
            path.take({ response, presence: { hasLeft: number === 2 } } as unknown as ReceivedRequest);
        });
        await new Promise(resolve => setImmediate(resolve));
        path.refuseWaiting();
        endBurst();
        clock.advance(1_000);
        await new Promise(resolve => setImmediate(resolve));
        assert.deepEqual([refused.length, begun.length], [4, 0], isReady ? "intake" : "start queue");
    }
});
