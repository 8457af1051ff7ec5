import assert from "node:assert/strict";
import { test } from "node:test";
import { freePorts } from "./freePorts.js";

/** The first port that Linux gives to outgoing connections unless it is set up otherwise. */
const firstOutgoingPort = 32_768;

test("free ports differ, and no outgoing connection can take them", async () => {
    const ports = await freePorts(20);
    assert.equal(new Set(ports).size, 20);
    assert.deepEqual(ports.filter(port => port >= firstOutgoingPort), []);
});
