import assert from "node:assert/strict";
import { test } from "node:test";
import { freePorts } from "./freePorts.js";

/** The first port that Linux assigns to outgoing connections by default. */
const firstOutgoingPort = 32_768;

test("free ports are distinct and below the range for outgoing connections", async () => {
    const ports = await freePorts(20);
    assert.equal(new Set(ports).size, 20);
    assert.deepEqual(ports.filter(port => port >= firstOutgoingPort), []);
});
