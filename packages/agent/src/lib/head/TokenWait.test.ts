import { type Failure, type Outcome, StallingClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { Result } from "true-myth";
import { type AgentContext } from "../AgentContext.js";
import { defaultAgentSettings } from "../AgentSettings.js";
import { type LaterStage } from "./LaterStages.js";
import { TokenWait } from "./TokenWait.js";

const silence = 200;
const hardTimeout = 1_600;
const stateTimeout = 200;
const working = Result.ok({ open: true, taken: 5, passed: 4 });
const noAnswer: Outcome<unknown> = Result.err({} as Failure);

/** A wait for a token from one later stage; `query` answers the questions for its progress. */
function startWait(query: (clock: StallingClock) => Promise<Outcome<unknown>>) {
    const clock = new StallingClock(1);
    const lost: string[] = [];
    const link = { request: () => query(clock) };
    const stage = { target: "later" };
    const context = { clock, target: "head", settings: { ...defaultAgentSettings, stateTimeout } };
    const wait = new TokenWait({
        context: context as unknown as AgentContext,
        timeouts: {
            firstToken: 500,
            join: () => 100,
            step: () => 100,
            silence: () => silence,
            hard: () => hardTimeout,
        },
        request: "r",
        epoch: 0,
        members: () => [{ stage, link } as unknown as LaterStage],
        ownPassed: () => 5,
        lost: ({ target = "nobody" }) => lost.push(target),
    });
    wait.expect(5, 1);
    return { clock, lost, wait };
}

/** An answer that a process which stalls for the whole timeout does not read in time. */
async function stall(clock: StallingClock): Promise<Outcome<unknown>> {
    clock.stall(stateTimeout);
    await clock.advanceAsync(0);
    return noAnswer;
}

// In a starved process the head gave up streams of stages that had answered, because it had not read the answers.
test("a stage whose answer this process did not read because it was blocked is not at fault", async () => {
    let queries = 0;
    const { clock, lost } = startWait(clock => queries++ === 0 ? stall(clock) : Promise.resolve(working));
    await clock.advanceAsync(silence * 3);
    assert.ok(queries > 1);
    assert.deepEqual(lost, []);
});

test("a stage that does not answer while this process runs is at fault at once", async () => {
    const { clock, lost } = startWait(() => Promise.resolve(noAnswer));
    await clock.advanceAsync(silence);
    assert.deepEqual(lost, ["later"]);
});

test("time for which this process is blocked does not count towards the longest wait, other time does", async () => {
    const { clock, lost } = startWait(clock => stall(clock));
    await clock.advanceAsync(hardTimeout - 100);
    assert.ok(clock.now() > hardTimeout);
    assert.deepEqual(lost, []);
    await clock.advanceAsync(hardTimeout);
    assert.deepEqual(lost, ["head"]);
});
