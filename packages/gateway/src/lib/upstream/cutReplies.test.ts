import { findMisread, type SeenReply } from "@waxwingspar/connections/testing";
import { SystemClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createCopyFetch } from "../copies/fetchCopy.js";
import { Exchange } from "./Exchange.js";

function exchange(port: number): Promise<SeenReply> {
    return new Promise(resolve => {
        let hasHead = false;
        Exchange.open({
            host: "127.0.0.1",
            port,
            method: "GET",
            path: "/",
            headers: ["Host", "x", "Connection", "close"],
            body: undefined,
            connectTimeout: 1_000,
            maySend: () => true,
            listener: {
                onHead: () => hasHead = true,
                onData: () => undefined,
                onEnd: () => resolve({ hasHead, isWhole: true }),
                onFailure: () => resolve({ hasHead, isWhole: false }),
            },
        });
    });
}

// Guards against a target's reply that stops in the middle and is passed on as whole.
test("a reply of a target that stops anywhere is never whole", async () => {
    assert.deepEqual(await findMisread({ read: exchange }), []);
});

// Guards against a part of a peer's copy that is taken for all of it.
test("a copy of a peer that stops anywhere is never whole", async () => {
    const fetch = createCopyFetch({ clock: new SystemClock(), own: "x" });
    const read = async (port: number) => {
        const isWhole = (await fetch(`127.0.0.1:${port}`, "table")).kind !== "failed";
        return { hasHead: isWhole, isWhole };
    };
    assert.deepEqual(await findMisread({ read, needsContent: true }), []);
});
