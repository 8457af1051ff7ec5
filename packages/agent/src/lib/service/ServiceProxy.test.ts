import { encodeClaim, shortHash } from "@waxwingspar/claims";
import { type CallMessage, type Message } from "@waxwingspar/transport";
import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo } from "node:net";
import { test } from "node:test";
import { type TestEntry } from "../testing/TestEntry.js";
import { TestSite } from "../testing/TestSite.js";

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

/** An agent with a plain service whose HTTP handler the test supplies. */
class CallSite {
    readonly site = new TestSite();

    private constructor(private readonly server: Server) {}

    static async create(handler: Handler, settings = {}): Promise<CallSite> {
        const server = createServer(handler);
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const created = new CallSite(server);
        const { port } = server.address() as AddressInfo;
        const service = { name: "records", baseUrl: `http://127.0.0.1:${port}/root/` };
        await created.site.start("a", { agent: { service, settings } });
        return created;
    }

    async call(changes: Partial<CallMessage> = {}, entry = this.site.entry): Promise<void> {
        (await entry.link("a")).send({
            type: "call",
            request: "r1",
            service: "records",
            organisation: "ports",
            priority: 5,
            timeLeft: 5000,
            method: "POST",
            path: "/work-orders",
            headers: {},
            body: new Uint8Array(Buffer.from("part 7")),
            ...changes,
        });
    }

    /** Waits for real sockets, advancing the test clock by `advance` milliseconds each turn. */
    async until(condition: () => boolean, advance = 0): Promise<void> {
        for (let turn = 0; turn < 5000 && !condition(); turn++) {
            this.site.clock.advance(advance);
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        assert.ok(condition(), "the condition was met in time");
    }

    async close(): Promise<void> {
        await this.site.targets.get("a")?.agent.close();
        this.server.closeAllConnections();
        this.server.close();
    }
}

function messages<Type extends Message["type"]>(entry: TestEntry, type: Type): Extract<Message, { type: Type; }>[] {
    return entry.received.filter((message): message is Extract<Message, { type: Type; }> => message.type === type);
}

function isWhole(entry: TestEntry, request = "r1"): boolean {
    return messages(entry, "replyBody").some(message => message.request === request && message.last);
}

function textOf(entry: TestEntry, request = "r1"): string {
    const pieces = messages(entry, "replyBody").filter(message => message.request === request);
    return Buffer.concat(pieces.map(({ data }) => data)).toString();
}

function codes(entry: TestEntry): number[] {
    return messages(entry, "callFailed").map(message => message.failure.code);
}

function claim(key = "key", incarnation = "a-1"): string {
    const runner = { target: "a", incarnation };
    return encodeClaim({ route: "records", organisation: "ports", keyHash: shortHash(key), generation: 0, runner });
}

/** Collects the body of a request. */
async function bodyOf(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString();
}

test("forwards a call without connection-specific headers", async () => {
    const seen: { url: string | undefined; headers: IncomingMessage["headers"]; body: string; }[] = [];
    const site = await CallSite.create((request, response) => {
        void bodyOf(request).then(body => {
            seen.push({ url: request.url, headers: request.headers, body });
            const cookies = ["a=1; Path=/", "b=2; Expires=Wed, 02 Dec 2026 10:00:00 GMT"];
            response.writeHead(201, {
                "x-answer": "yes",
                connection: "x-private",
                "x-private": "secret",
                "set-cookie": cookies,
            });
            response.end("done ".repeat(40_000));
        });
    });
    await site.call({
        path: "/work-orders?depot=3",
        headers: { "X-Part": "7", Connection: "X-Drop", "x-drop": "1", te: "trailers", host: "elsewhere" },
    });
    await site.until(() => isWhole(site.site.entry));
    await site.close();
    assert.equal(seen[0]?.url, "/root/work-orders?depot=3");
    assert.equal(seen[0]?.body, "part 7");
    assert.equal(seen[0]?.headers["x-part"], "7");
    assert.equal(seen[0]?.headers["x-drop"], undefined);
    assert.notEqual(seen[0]?.headers.host, "elsewhere");
    const [reply] = messages(site.site.entry, "reply");
    assert.equal(reply?.status, 201);
    assert.equal(reply?.headers["x-answer"], "yes");
    assert.equal(reply?.headers["x-private"], undefined);
    const cookies = ["a=1; Path=/", "b=2; Expires=Wed, 02 Dec 2026 10:00:00 GMT"];
    assert.deepEqual(reply?.headers["set-cookie"], cookies);
    assert.equal(textOf(site.site.entry), "done ".repeat(40_000));
    assert.ok(messages(site.site.entry, "replyBody").every(({ data }) => data.length <= 65_536));
    assert.equal(site.site.events("a", "service.run").length, 1);
});

test("call to a service that accepts no connection has not run", async () => {
    const site = await CallSite.create(() => undefined);
    await site.close();
    const refused = new TestSite();
    const service = { name: "records", baseUrl: "http://127.0.0.1:1" };
    await refused.start("a", { agent: { service } });
    (await refused.entry.link("a")).send({
        type: "call",
        request: "r1",
        service: "records",
        organisation: "ports",
        priority: 5,
        timeLeft: 5000,
        method: "GET",
        path: "/",
        headers: {},
        body: new Uint8Array(0),
        claim: claim(),
    });
    await site.until(() => codes(refused.entry).length > 0);
    assert.deepEqual(codes(refused.entry), [requestCodes.noCapacity.number]);
    assert.deepEqual(refused.events("a", "service.run"), []);
});

test("connection lost after the call was sent is unknown", async () => {
    const site = await CallSite.create(request => void request.socket.destroy());
    await site.call();
    await site.until(() => codes(site.site.entry).length > 0);
    await site.close();
    assert.deepEqual(codes(site.site.entry), [requestCodes.outcomeUnknown.number]);
    assert.equal(site.site.events("a", "service.run").length, 1);
});

test("call with a truncated answer is unknown", async () => {
    const site = await CallSite.create((_, response) => {
        response.writeHead(200, { "content-length": "100" });
        response.write("half", () => response.destroy());
    });
    await site.call();
    await site.until(() => codes(site.site.entry).length > 0);
    await site.close();
    assert.deepEqual(codes(site.site.entry), [requestCodes.outcomeUnknown.number]);
    assert.equal(isWhole(site.site.entry), false);
});

test("service that does not answer runs into the deadline", async () => {
    const site = await CallSite.create(() => undefined);
    await site.call({ timeLeft: 400 });
    await site.until(() => codes(site.site.entry).length > 0, 5);
    await site.close();
    assert.deepEqual(codes(site.site.entry), [requestCodes.deadlineExceeded.number]);
});

test("refuses other services, large bodies and bad paths", async () => {
    const site = await CallSite.create((_, response) => void response.end());
    await site.call({ request: "r1", service: "other" });
    await site.call({ request: "r2", body: new Uint8Array(1_048_577) });
    await site.call({ request: "r3", path: "work-orders" });
    await site.until(() => codes(site.site.entry).length === 3);
    await site.close();
    const { wrongTarget, tooLarge, malformed } = requestCodes;
    assert.deepEqual(codes(site.site.entry), [wrongTarget.number, tooLarge.number, malformed.number]);
    assert.deepEqual(site.site.events("a", "service.run"), []);
});

test("claimed call runs once for duplicates before, during and after it", async () => {
    let runs = 0;
    let release: (() => void) | undefined;
    const site = await CallSite.create((_, response) => {
        runs++;
        response.write("run ");
        release = () => void response.end(String(runs));
    });
    const other = site.site.createEntry("entry2");
    await site.call({ request: "r1", claim: claim() });
    await site.call({ request: "r2", claim: claim() }, other);
    await site.until(() => release !== undefined);
    await site.call({ request: "r3", claim: claim() }, other);
    await site.until(() => textOf(other, "r3") === "run ");
    release?.();
    await site.until(() => isWhole(site.site.entry) && isWhole(other, "r2") && isWhole(other, "r3"));
    await site.call({ request: "r4", claim: claim() }, other);
    await site.until(() => isWhole(other, "r4"));
    await site.close();
    assert.equal(runs, 1);
    const texts = [textOf(site.site.entry), textOf(other, "r2"), textOf(other, "r3"), textOf(other, "r4")];
    assert.deepEqual(texts, ["run 1", "run 1", "run 1", "run 1"]);
    assert.equal(site.site.events("a", "service.run").length, 1);
});

test("claimed call runs to its end without its caller", async () => {
    let release: (() => void) | undefined;
    let aborted = false;
    const site = await CallSite.create((request, response) => {
        request.socket.on("close", () => {
            aborted = !response.writableEnded;
        });
        release = () => void response.end("kept");
    });
    const other = site.site.createEntry("entry2");
    await site.call({ claim: claim() });
    await site.until(() => release !== undefined);
    (await site.site.entry.link("a")).send({ type: "callCancel", request: "r1" });
    await site.call({ request: "r2", claim: claim() }, other);
    release?.();
    await site.until(() => isWhole(other, "r2"));
    assert.equal(aborted, false);
    assert.equal(textOf(other, "r2"), "kept");
    await site.close();
});

test("cancelled call without a claim is aborted", async () => {
    let closed = false;
    let arrived = false;
    const site = await CallSite.create(request => {
        arrived = true;
        request.socket.on("close", () => {
            closed = true;
        });
    });
    await site.call();
    await site.until(() => arrived);
    (await site.site.entry.link("a")).send({ type: "callCancel", request: "r1" });
    await site.until(() => closed);
    assert.equal(site.site.targets.get("a")?.queue.running, 0);
    await site.close();
});

test("call that is repeated right after its cancellation runs", async () => {
    let runs = 0;
    const site = await CallSite.create((_, response) => {
        runs++;
        if (runs > 1) {
            response.end("second");
        }
    });
    await site.call();
    await site.until(() => runs === 1);
    (await site.site.entry.link("a")).send({ type: "callCancel", request: "r1" });
    await site.call();
    await site.until(() => isWhole(site.site.entry));
    assert.equal(textOf(site.site.entry), "second");
    await site.close();
});

test("answer too large to keep is unknown to a later duplicate", async () => {
    let runs = 0;
    const site = await CallSite.create((_, response) => {
        runs++;
        response.end("x".repeat(5000));
    }, { replyMemory: 1000 });
    await site.call({ claim: claim() });
    await site.until(() => isWhole(site.site.entry));
    await site.call({ request: "r2", claim: claim() });
    await site.until(() => codes(site.site.entry).length > 0);
    await site.close();
    assert.equal(textOf(site.site.entry).length, 5000);
    assert.deepEqual(codes(site.site.entry), [requestCodes.outcomeUnknown.number]);
    assert.equal(runs, 1);
});

test("claim whose call was interrupted never runs again", async () => {
    let runs = 0;
    const site = await CallSite.create(request => {
        runs++;
        request.socket.destroy();
    });
    await site.call({ claim: claim() });
    await site.until(() => codes(site.site.entry).length === 1);
    await site.call({ request: "r2", claim: claim() });
    await site.call({ request: "r1", claim: claim() });
    await site.until(() => codes(site.site.entry).length === 3);
    await site.close();
    assert.equal(runs, 1);
});

test("leaving waits for a call, and refuses new ones as not run", async () => {
    let release: (() => void) | undefined;
    let runs = 0;
    const site = await CallSite.create((_, response) => {
        runs++;
        release = () => void response.end("whole");
    });
    await site.call({ claim: claim() });
    await site.until(() => release !== undefined);
    let interrupted: number | undefined;
    void site.site.targets.get("a")?.agent.leave().then(result => {
        interrupted = result.interrupted;
    });
    await site.call({ request: "r2" });
    await site.call({ request: "r3", claim: claim("other") });
    await site.call({ request: "r4", claim: claim() });
    await site.until(() => codes(site.site.entry).length === 2);
    site.site.clock.advance(3000);
    assert.equal(interrupted, undefined);
    release?.();
    await site.until(() => isWhole(site.site.entry) && isWhole(site.site.entry, "r4"));
    await site.until(() => interrupted !== undefined, 20);
    await site.close();
    const { stopping } = requestCodes;
    assert.deepEqual(codes(site.site.entry), [stopping.number, stopping.number]);
    assert.equal(interrupted, 0);
    assert.equal(runs, 1);
});
