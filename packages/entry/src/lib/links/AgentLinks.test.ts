import { StaticConfiguration } from "@waxwingspar/config";
import { createRetryBudgets } from "@waxwingspar/policy";
import { ManualClock, seededRandom } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { pino } from "pino";
import { Entry } from "../Entry.js";
import { FakeAgent, FakeLinkPool } from "../testing/FakeAgents.js";
import { FakeClaims } from "../testing/FakeClaims.js";
import { FakeRouter } from "../testing/FakeRouter.js";

/** Starts an entry with a link to one agent, and collects its log messages with their levels. */
async function linkedEntry() {
    const clock = new ManualClock();
    const agent = new FakeAgent("target-1", clock, 1);
    const links = new FakeLinkPool([agent]);
    const log: string[] = [];
    const write = (line: string) => {
        const { level, msg } = JSON.parse(line) as { level: number; msg: string; };
        log.push(`${level} ${msg}`);
    };
    const entry = new Entry({
        listen: { host: "127.0.0.1", port: 0 },
        links,
        configuration: new StaticConfiguration(),
        router: new FakeRouter([]),
        retryBudgets: createRetryBudgets({ clock, random: seededRandom(1) }),
        claims: new FakeClaims(),
        clock,
        logger: pino({ level: "debug" }, { write }),
        limits: { stopLead: 0 },
    });
    await links.connect(agent.address);
    return { agent, clock, entry, log };
}

const warning = "40 entry: a link was lost";
const quiet = "20 entry: a link closed";

test("the loss of a link is a warning if the agent is no longer leaving", async () => {
    const { agent, clock, log } = await linkedEntry();
    agent.sendLoad(true);
    agent.sendLoad(false);
    await clock.advanceAsync(10);
    agent.cut();
    assert.deepEqual(log, [warning]);
});

test("the closing of a link of a leaving agent is no warning", async () => {
    const { agent, clock, log } = await linkedEntry();
    agent.sendLoad(true);
    await clock.advanceAsync(10);
    agent.cut();
    assert.deepEqual(log, [quiet]);
});

test("a link that closes while the entry stops is no warning", async () => {
    const { agent, entry, log } = await linkedEntry();
    await entry.stop();
    agent.cut();
    assert.deepEqual(log.filter(line => line.includes("link")), [quiet]);
});
