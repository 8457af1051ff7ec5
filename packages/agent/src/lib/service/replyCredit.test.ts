import { encodeClaim, shortHash } from "@waxwingspar/claims";
import { type CallMessage, type Message } from "@waxwingspar/transport";
import { requestCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type Dispatcher } from "undici";
import { type TestEntry } from "../testing/TestEntry.js";
import { TestSite } from "../testing/TestSite.js";

const piece = 1000;

/** A service whose answer has a number of pieces, and that counts the bytes that were read. */
class PieceService {
    read = 0;
    /** Number of calls that were aborted or completed. */
    ended = 0;

    constructor(private readonly pieces: number) {}

    get dispatcher(): Dispatcher {
        const request = () => Promise.resolve({ statusCode: 200, headers: {}, body: this.body() });
        return { request, destroy: () => Promise.resolve() } as unknown as Dispatcher;
    }

    private async *body(): AsyncGenerator<Uint8Array> {
        try {
            for (let index = 0; index < this.pieces; index++) {
                await Promise.resolve();
                this.read += piece;
                yield new Uint8Array(piece).fill(index);
            }
        }
        finally {
            this.ended++;
        }
    }
}

async function createSite(service: PieceService, settings = {}): Promise<TestSite> {
    const site = new TestSite();
    const address = { name: "records", baseUrl: "http://127.0.0.1:1/", dispatcher: service.dispatcher };
    await site.start("a", { agent: { service: address, settings } });
    return site;
}

async function send(entry: TestEntry, message: Message): Promise<void> {
    (await entry.link("a")).send(message);
}

function call(entry: TestEntry, changes: Partial<CallMessage>): Promise<void> {
    return send(entry, {
        type: "call",
        request: "r1",
        service: "records",
        organisation: "ports",
        priority: 5,
        timeLeft: 5000,
        method: "GET",
        path: "/samples",
        headers: {},
        body: new Uint8Array(0),
        ...changes,
    });
}

/** Settles all pending work that does not depend on the clock. */
async function settle(): Promise<void> {
    for (let turn = 0; turn < 200; turn++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}

function bodies({ received }: TestEntry, request = "r1"): Extract<Message, { type: "replyBody"; }>[] {
    return received.filter((message): message is Extract<Message, { type: "replyBody"; }> =>
        message.type === "replyBody" && message.request === request
    );
}

function replyTo({ received }: TestEntry): Extract<Message, { type: "reply"; }> | undefined {
    return received.find((message): message is Extract<Message, { type: "reply"; }> => message.type === "reply");
}

function bytes(entry: TestEntry, request?: string): number {
    return bodies(entry, request).reduce((sum, { data }) => sum + data.length, 0);
}

function isWhole(entry: TestEntry, request?: string): boolean {
    return bodies(entry, request).some(({ last }) => last);
}

function failures({ received }: TestEntry): [string, number][] {
    return received.flatMap(message => message.type === "callFailed" ? [[message.request, message.failure.code]] : []);
}

function claim(): string {
    const runner = { target: "a", incarnation: "a-1" };
    return encodeClaim({ route: "records", organisation: "ports", keyHash: shortHash("k"), generation: 0, runner });
}

test("reads no more of an answer than the credit and one piece", async () => {
    const service = new PieceService(20);
    const { entry } = await createSite(service);
    await call(entry, { credit: 2500 });
    let granted = 2500;
    for (const upTo of [2500, 2600, 7000, 5000]) {
        await send(entry, { type: "replyCredit", request: "r1", upTo });
        await settle();
        granted = Math.max(granted, upTo);
        assert.equal(bytes(entry), granted);
        assert.ok(service.read <= granted + piece, `${service.read} read of ${granted} granted`);
    }
    assert.equal(replyTo(entry)?.credited, true);
    await send(entry, { type: "replyCredit", request: "r1", upTo: 1_000_000 });
    await settle();
    assert.ok(isWhole(entry));
    const body = Buffer.concat(bodies(entry).map(({ data }) => data));
    assert.deepEqual(body, Buffer.concat(Array.from({ length: 20 }, (_, index) => Buffer.alloc(piece, index))));
});

test("an entry without flow control gets the whole answer", async () => {
    const { entry } = await createSite(new PieceService(20));
    await call(entry, {});
    await settle();
    assert.ok(isWhole(entry));
    assert.deepEqual([replyTo(entry)?.status, replyTo(entry)?.credited], [200, undefined]);
});

test("a paused call can be cancelled", async () => {
    const service = new PieceService(20);
    const site = await createSite(service);
    await call(site.entry, { credit: 2500 });
    await settle();
    await send(site.entry, { type: "callCancel", request: "r1" });
    await settle();
    assert.deepEqual([service.ended, site.targets.get("a")?.queue.running], [1, 0]);
    assert.ok(service.read <= 2500 + piece);
});

test("a paused call ends at its deadline", async () => {
    const service = new PieceService(20);
    const site = await createSite(service);
    await call(site.entry, { credit: 2500, timeLeft: 400 });
    await settle();
    site.clock.advance(401);
    await settle();
    assert.deepEqual(failures(site.entry), [["r1", requestCodes.deadlineExceeded.number]]);
    assert.deepEqual([service.ended, site.targets.get("a")?.queue.running], [1, 0]);
});

test("leaving waits for a paused call, up to its limit", async () => {
    const site = await createSite(new PieceService(20), { drainLimit: 60_000 });
    const target = site.targets.get("a");
    let interrupted: number | undefined;
    await call(site.entry, { credit: 2500, timeLeft: 100_000 });
    await settle();
    void target?.agent.leave().then(result => {
        interrupted = result.interrupted;
    });
    await site.clock.advanceAsync(5000, 20);
    assert.equal(interrupted, undefined);
    await send(site.entry, { type: "replyCredit", request: "r1", upTo: 1_000_000 });
    await site.until(() => interrupted !== undefined);
    assert.deepEqual([interrupted, isWhole(site.entry)], [0, true]);
});

test("leaving interrupts a paused call at its limit", async () => {
    const service = new PieceService(20);
    const site = await createSite(service, { drainLimit: 2000 });
    await call(site.entry, { credit: 2500, timeLeft: 100_000 });
    await settle();
    const leaving = site.targets.get("a")?.agent.leave();
    await site.clock.advanceAsync(2100, 20);
    assert.equal((await leaving)?.interrupted, 1);
    assert.deepEqual(failures(site.entry), [["r1", requestCodes.outcomeUnknown.number]]);
});

test("a claimed call whose answer is kept runs to its end without credit", async () => {
    const service = new PieceService(20);
    const site = await createSite(service);
    const other = site.createEntry("entry2");
    await call(site.entry, { credit: 2500, claim: claim() });
    await call(other, { request: "r2", credit: 6500, claim: claim() });
    await settle();
    assert.equal(service.ended, 1);
    assert.deepEqual([bytes(site.entry), bytes(other, "r2")], [2500, 6500]);
    await send(other, { type: "replyCredit", request: "r2", upTo: 50_000 });
    await settle();
    assert.deepEqual([isWhole(site.entry), isWhole(other, "r2"), bytes(other, "r2")], [false, true, 20_000]);
    await send(site.entry, { type: "replyCredit", request: "r1", upTo: 50_000 });
    await settle();
    assert.deepEqual([isWhole(site.entry), bytes(site.entry)], [true, 20_000]);
});

test("a claimed answer too large to keep waits for its only caller", async () => {
    const service = new PieceService(100);
    const { entry } = await createSite(service, { replyMemory: 10_000 });
    await call(entry, { credit: 2500, claim: claim() });
    await settle();
    assert.ok(service.read <= 11_000, `${service.read} read`);
    for (let upTo = 5000; upTo <= 105_000; upTo += 5000) {
        await send(entry, { type: "replyCredit", request: "r1", upTo });
        await settle();
        assert.ok(service.read <= Math.max(upTo, 10_000) + piece, `${service.read} read`);
    }
    assert.deepEqual([isWhole(entry), bytes(entry)], [true, 100_000]);
});

test("a slow caller of a claimed answer does not stall a duplicate", async () => {
    const service = new PieceService(100);
    const site = await createSite(service, { replyMemory: 10_000 });
    const other = site.createEntry("entry2");
    await call(site.entry, { credit: 2500, claim: claim() });
    await call(other, { request: "r2", credit: 1_000_000, claim: claim() });
    await settle();
    assert.deepEqual([isWhole(other, "r2"), bytes(other, "r2")], [true, 100_000]);
    assert.deepEqual(failures(site.entry), [["r1", requestCodes.inProgress.number]]);
});

test("a claimed call runs to its end when its paused caller goes away", async () => {
    const service = new PieceService(100);
    const { entry } = await createSite(service, { replyMemory: 10_000 });
    await call(entry, { credit: 2500, claim: claim() });
    await settle();
    assert.equal(service.ended, 0);
    await send(entry, { type: "callCancel", request: "r1" });
    await settle();
    assert.deepEqual([service.ended, service.read], [1, 100_000]);
});
