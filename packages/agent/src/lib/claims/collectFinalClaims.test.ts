import { decodeClaim, encodeClaim, type FinalClaims, shortHash } from "@waxwingspar/claims";
import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { Result } from "true-myth";
import { type AgentSettings } from "../AgentSettings.js";
import { type TestEntry } from "../testing/TestEntry.js";
import { TestSite } from "../testing/TestSite.js";

function claim(key: string): string {
    const runner = { target: "a", incarnation: "a-1" };
    return encodeClaim({ route: "records", organisation: "ports", keyHash: shortHash(key), generation: 3, runner });
}

function failures(entry: TestEntry): Record<string, number> {
    const failed = entry.received.filter(message => message.type === "callFailed");
    return Object.fromEntries(failed.map(({ request, failure }) => [request, failure.code]));
}

/** An agent with a plain service, which stores its claims when it leaves. */
class LeavingSite {
    readonly site = new TestSite();
    readonly written: FinalClaims[] = [];
    runs = 0;
    /** Called while the claims are being stored. */
    onWrite: () => Promise<void> = () => Promise.resolve();

    static async create(
        context: TestContext,
        respond: (response: ServerResponse, run: number) => void,
        settings: Partial<AgentSettings> = {},
        slots = 64,
    ): Promise<LeavingSite> {
        const created = new LeavingSite();
        const server = createServer((_, response) => respond(response, ++created.runs));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const service = { name: "records", baseUrl: `http://127.0.0.1:${port}` };
        const writeFinalClaims = async (finalClaims: FinalClaims): Promise<Result<void, never>> => {
            created.written.push(finalClaims);
            await created.onWrite();
            return Result.ok(undefined);
        };
        await created.site.start("a", { agent: { service, settings, writeFinalClaims }, slots });
        context.after(() => {
            server.closeAllConnections();
            server.close();
        });
        return created;
    }

    /** Sends a call under a claim; the request id is the same as the key. */
    async call(key: string): Promise<void> {
        (await this.site.entry.link("a")).send({
            type: "call",
            request: key,
            service: "records",
            organisation: "ports",
            priority: 5,
            timeLeft: 5000,
            method: "POST",
            path: "/work-orders",
            headers: {},
            body: new Uint8Array(0),
            claim: claim(key),
        });
    }

    async answered(key: string): Promise<void> {
        await this.call(key);
        await this.until(() => this.isWhole(key));
    }

    isWhole(key: string): boolean {
        return this.site.entry.received.some(message =>
            message.type === "replyBody" && message.request === key && message.last
        );
    }

    /** Waits for real sockets, advancing the test clock by `advance` milliseconds each turn. */
    async until(condition: () => boolean, advance = 0): Promise<void> {
        for (let turn = 0; turn < 5000 && !condition(); turn++) {
            this.site.clock.advance(advance);
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        assert.ok(condition(), "the condition was met in time");
    }

    async leave(): Promise<Map<string | undefined, FinalClaims["claims"][number]>> {
        let left = false;
        void this.site.targets.get("a")?.agent.leave().then(() => {
            left = true;
        });
        await this.until(() => left, 10);
        assert.equal(this.written.length, 1);
        const listed = this.written[0]?.claims ?? [];
        assert.ok(listed.every(({ claim }) => decodeClaim(claim)?.runner.incarnation === "a-1"));
        return new Map(listed.map(entry => [entry.claim, entry]));
    }
}

test("claims are written down when nothing can run any more", async context => {
    let release: (() => void) | undefined;
    const site = await LeavingSite.create(context, (response, run) => {
        response.writeHead(201, { "x-run": String(run) });
        release = () => void response.end(`run ${run}`);
    });
    await site.call("k1");
    await site.until(() => release !== undefined);
    let listedBefore: string[] = [];
    site.onWrite = async () => {
        listedBefore = site.written[0]?.claims.map(entry => entry.claim) ?? [];
        await site.call("k2");
        await site.until(() => failures(site.site.entry)["k2"] !== undefined);
    };
    const leaving = site.leave();
    await site.until(() => site.site.entry.received.some(message => message.type === "load" && message.load.leaving));
    assert.deepEqual(site.written, [], "nothing is written while a call runs");
    release?.();
    const listed = await leaving;
    const kept = listed.get(claim("k1"));
    assert.deepEqual([kept?.end, kept?.reply?.status, kept?.reply?.headers["x-run"]], ["ran", 201, "1"]);
    assert.equal(Buffer.from(kept?.reply?.body ?? "", "base64").toString(), "run 1");
    assert.deepEqual(listedBefore, [claim("k1")], "an unlisted claim was not accepted before");
    assert.equal(failures(site.site.entry)["k2"], requestCodes.stopping.number, "and is refused as not run after");
    assert.equal(site.runs, 1);
});

test("what is cut off is listed as interrupted, what waited as refused", async context => {
    const site = await LeavingSite.create(context, () => undefined, { drainLimit: 600 }, 1);
    await site.call("k1");
    await site.until(() => site.runs === 1);
    await site.call("k2");
    const listed = await site.leave();
    assert.deepEqual([listed.get(claim("k1"))?.end, listed.get(claim("k2"))?.end], ["interrupted", "refused"]);
    assert.equal(site.runs, 1);
});

test("the newest answers are stored up to the limit, and older claims are listed without answers", async context => {
    const site = await LeavingSite.create(context, response => response.end("x".repeat(600)), { leftClaimBytes: 2500 });
    for (const key of ["k1", "k2", "k3"]) {
        await site.answered(key);
    }
    const listed = await site.leave();
    const kept = ["k1", "k2", "k3"].map(key => listed.get(claim(key))).map(
        entry => [entry?.end, entry?.reply !== undefined],
    );
    assert.deepEqual(kept, [["ran", false], ["ran", true], ["ran", true]]);
});

test("evicted generations are listed", async context => {
    const site = await LeavingSite.create(context, response => response.end("done"), { claims: 1 });
    await site.answered("k1");
    await site.answered("k2");
    const listed = await site.leave();
    assert.deepEqual([...listed.keys()], [claim("k2")]);
    assert.deepEqual(site.written[0]?.forgotten, [["", 3]]);
});

test("an agent that is closed without leaving writes nothing", async context => {
    const site = await LeavingSite.create(context, response => response.end("done"));
    await site.answered("k1");
    await site.site.targets.get("a")?.agent.close();
    assert.deepEqual(site.written, []);
});
