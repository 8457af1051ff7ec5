import { referenceAnswer } from "@waxwingspar/engine";
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { rolloutModel, RolloutSite } from "../testing/RolloutSite.js";

const versions = ["v1", "v2"] as const;
const maxTokens = 24;
const callers = 4;

/** Concurrent callers that each send requests one after another, and the results. */
class Traffic {
    /** The correct answers: the number of the request, and the version that answered it. */
    readonly answered: { number: number; version: string; }[] = [];
    readonly wrong: string[] = [];
    /** The number of requests sent. */
    count = 0;
    private stopped = false;
    private readonly running: Promise<void[]>;

    constructor(private readonly site: RolloutSite) {
        this.running = Promise.all(Array.from({ length: callers }, () => this.call()));
    }

    /** Waits until the given number of further requests has been answered. */
    async waitForAnswers(count: number): Promise<void> {
        const wanted = this.answered.length + count;
        const done = () => this.answered.length >= wanted || this.wrong.length > 0;
        await this.site.until(`${wanted} answers`, done);
        assert.deepEqual(this.wrong, []);
    }

    /** Returns the versions that answered the requests with a number above the given one. */
    versionsAfter(count: number): string[] {
        return [...new Set(this.answered.filter(({ number }) => number > count).map(({ version }) => version))].sort();
    }

    async stop(): Promise<void> {
        this.stopped = true;
        await this.running;
    }

    private async call(): Promise<void> {
        while (!this.stopped) {
            const number = ++this.count;
            const prompt = `Which part of forklift ${number} wears first?`;
            const { status, text } = await this.completeOnceAccepted(prompt);
            const right = versions.filter(version => text === expected(version, prompt));
            if (status === 200 && right.length === 1) {
                this.answered.push({ number, version: right[0]! });
            }
            else {
                this.wrong.push(`${status} ${text}`);
            }
        }
    }

    /**
     * Sends a request again for as long as it is refused as not run, after the time that the refusal names. A site in a
     * starved process refuses what it expects to serve too late; every other failure counts as wrong.
     */
    private async completeOnceAccepted(prompt: string): Promise<{ status: number; text: string; }> {
        for (;;) {
            const answer = await this.site.complete(prompt, maxTokens);
            const retryAfter = answer.status === 503 ? notRunRetryAfter(answer.text) : undefined;
            if (retryAfter === undefined) {
                return answer;
            }
            await pause(retryAfter);
        }
    }
}

/** Returns the milliseconds after which a request that was refused as not run may be sent again. */
function notRunRetryAfter(text: string): number | undefined {
    const { error } = JSON.parse(text) as { error: { execution: string; retry_after_ms?: number; }; };
    return error.execution === "not run" ? error.retry_after_ms : undefined;
}

function expected(version: string, prompt: string): string {
    const { name: model, layers } = rolloutModel;
    return referenceAnswer({ model, version, layers, prompt, maxTokens }).text;
}

async function startSite(t: TestContext): Promise<RolloutSite> {
    const site = new RolloutSite();
    t.after(() => site.stop());
    await site.start();
    assert.deepEqual(site.stageCounts(), [3, 3]);
    return site;
}

async function assertServesOnly(site: RolloutSite, traffic: Traffic, version: string): Promise<void> {
    await site.until(`${version} alone serves`, () => site.servesOnly(version));
    await site.until(`${version} alone is held`, async () => (await site.heldVersions()).join() === version);
    const before = traffic.count;
    await traffic.waitForAnswers(4 * callers);
    assert.deepEqual(traffic.versionsAfter(before), [version]);
}

async function finish(site: RolloutSite, traffic: Traffic): Promise<void> {
    await traffic.stop();
    await site.stop();
    assert.deepEqual(traffic.wrong, []);
    assert.deepEqual(site.violations(), []);
    const recorded = new Set(site.history.map(({ body }) => body.event));
    assert.ok(recorded.has("tokens.sent") && recorded.has("order.applied") && recorded.has("config.applied"));
}

test("a new version takes over under requests, and every answer is of one version", async t => {
    const site = await startSite(t);
    const traffic = new Traffic(site);
    await traffic.waitForAnswers(10);
    await site.setCurrent("v2");
    await assertServesOnly(site, traffic, "v2");
    assert.deepEqual(traffic.versionsAfter(0), ["v1", "v2"]);
    await finish(site, traffic);
});

test("a rollout is taken back in the middle, and the holder of the duty stops in the middle of both", async t => {
    const site = await startSite(t);
    const traffic = new Traffic(site);
    await site.setCurrent("v2");
    const first = await site.stopDutyHolder();
    await site.until("a pipeline of v2 serves", () => site.readyPipelines("v2") > 0);
    await site.setCurrent("v1");
    const second = await site.stopDutyHolder();
    assert.notEqual(second, first);
    await assertServesOnly(site, traffic, "v1");
    await finish(site, traffic);
});
