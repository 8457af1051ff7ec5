import { FakeEngine, tokenizeText } from "@waxwingspar/engine";
import { type FrameMessage, type JoinMessage, type Link, type Message } from "@waxwingspar/transport";
import { requestCodes } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { chainOf, testPrompt } from "../testing/TestEntry.js";
import { testHello } from "../testing/TestNetwork.js";
import { testLayers, TestSite } from "../testing/TestSite.js";

const stages = chainOf(["head", "b"], testLayers);
const split = stages[1]?.first ?? 0;
const tokens = tokenizeText(testPrompt);

/** A scripted head in front of one real stage, the last of its chain. */
class RawHead {
    readonly received: Message[] = [];

    private constructor(readonly site: TestSite, readonly link: Link) {
        link.onMessage(message => this.received.push(message));
    }

    static async create(settings = {}): Promise<RawHead> {
        const site = new TestSite();
        await site.start("b", { agent: { settings } });
        const host = { hello: testHello("head", "agent"), methods: () => ({}), accept: () => undefined };
        const link = await site.network.createPool(host).connect({ host: "b", port: 1 });
        assert.ok(link.isOk);
        return new RawHead(site, link.value);
    }

    join(changes: Partial<JoinMessage> = {}): void {
        this.link.send({
            type: "join",
            request: "r1",
            epoch: 0,
            model: "demo",
            version: "1",
            organisation: "ports",
            priority: 5,
            timeLeft: 60_000,
            sampling: { maxTokens: 20, stop: [], seed: 7 },
            stages,
            exporters: [],
            index: 1,
            ...changes,
        });
    }

    async send(frames: readonly FrameMessage[]): Promise<void> {
        for (const frame of frames) {
            this.link.send(frame);
            await this.site.clock.advanceAsync(1, 1);
        }
    }

    of<Type extends Message["type"]>(type: Type): Extract<Message, { type: Type; }>[] {
        return this.received.filter((message): message is Extract<Message, { type: Type; }> => message.type === type);
    }
}

/** The frames of the prompt, one for each position, as the first stage sends them. */
async function promptFrames(epoch = 0): Promise<FrameMessage[]> {
    const site = new TestSite();
    const held = [{ model: "demo", version: "1", first: 0, last: split - 1 }];
    const engine = new FakeEngine({ clock: site.clock, held, stepTime: 0, itemTime: 0 });
    const session = { session: "s", model: "demo", version: "1", first: 0, last: split - 1, priority: 1 };
    await engine.open(session);
    const frames: FrameMessage[] = [];
    for (const [position, token] of tokens.entries()) {
        const result = await engine.step({ session: "s", position, count: 1, tokens: [token], sample: false });
        assert.ok(result.isOk && result.value.activations !== undefined);
        const prefill = position < tokens.length - 1;
        const data = new Uint8Array(result.value.activations);
        frames.push({ type: "frame", request: "r1", epoch, position, count: 1, layer: split, prefill, data });
    }
    return frames;
}

async function firstToken(frames: readonly FrameMessage[]): Promise<number | undefined> {
    const head = await RawHead.create();
    head.join();
    await head.site.clock.advanceAsync(5, 1);
    await head.send(frames);
    await head.site.clock.advanceAsync(1000, 10);
    assert.equal(head.of("sampled").length, 1);
    return head.of("sampled")[0]?.token;
}

test("repeated and reordered frames draw the same token", async () => {
    const frames = await promptFrames();
    const expected = await firstToken(frames);
    await fc.assert(
        fc.asyncProperty(fc.array(fc.nat(frames.length - 1), { maxLength: 8 }), fc.infiniteStream(fc.nat(3)), async (
            repeats,
            jitter,
        ) => {
            const sent = [...frames, ...repeats.map(index => frames[index])].filter(frame => frame !== undefined);
            // Each frame is delayed by up to three places, except the first, which determines where the attempt starts.
            const places = sent.map((_, index) => index === 0 ? 0 : index + Number(jitter.next().value));
            const order = sent.map((frame, index) => ({ frame, place: places[index] ?? 0 }));
            order.sort((a, b) => a.place - b.place);
            assert.equal(await firstToken(order.map(({ frame }) => frame)), expected);
        }),
        { numRuns: 30, seed: 4 },
    );
});

test("a gap that is not filled fails the attempt", async () => {
    const head = await RawHead.create();
    const frames = await promptFrames();
    head.join();
    await head.site.clock.advanceAsync(5, 1);
    await head.send(frames.filter(frame => frame.position !== 4));
    await head.site.clock.advanceAsync(300, 10);
    const [failed] = head.of("stageFailed");
    assert.equal(failed?.failure.code, requestCodes.stageLost.number);
    assert.equal(failed?.target, "head");
    assert.equal(head.of("sampled").length, 0);
});

test("too many frames after a gap fail the attempt", async () => {
    const head = await RawHead.create({ heldFrames: 3, gapTimeout: 60_000 });
    const frames = await promptFrames();
    head.join();
    await head.site.clock.advanceAsync(5, 1);
    await head.send(frames.slice(1));
    assert.equal(head.of("stageFailed").length, 1);
});

test("frames for other layers or epochs do not run", async () => {
    const head = await RawHead.create();
    const frames = await promptFrames();
    head.join({ epoch: 1 });
    await head.site.clock.advanceAsync(5, 1);
    await head.send(frames);
    await head.send(frames.map(frame => ({ ...frame, epoch: 1, layer: split + 1 })));
    await head.site.clock.advanceAsync(100, 10);
    assert.deepEqual(head.site.events("b", "layers.run"), []);
});

test("a join of an old epoch, for another version or for another target is refused", async () => {
    const head = await RawHead.create();
    head.join({ epoch: 4 });
    await head.site.clock.advanceAsync(5, 1);
    head.join({ epoch: 3 });
    head.join({ request: "r2", version: "2" });
    head.join({ request: "r3", stages: chainOf(["head", "c"], testLayers) });
    await head.site.clock.advanceAsync(5, 1);
    const codes = head.of("stageFailed").map(message => message.failure.code);
    const { staleEpoch, wrongTarget } = requestCodes;
    assert.deepEqual(codes, [staleEpoch.number, wrongTarget.number, wrongTarget.number]);
});

test("the cache is retained for a short time after the loss of the head", async () => {
    const head = await RawHead.create({ retainCache: 1000 });
    const frames = await promptFrames();
    head.join();
    await head.site.clock.advanceAsync(5, 1);
    await head.send(frames);
    await head.site.clock.advanceAsync(100, 1);
    head.site.network.kill("head");
    const engine = head.site.targets.get("b")?.engine;
    await head.site.clock.advanceAsync(500, 10);
    assert.ok((await engine?.exportCache("r1/0"))?.isOk);
    await head.site.clock.advanceAsync(600, 10);
    assert.ok((await engine?.exportCache("r1/0"))?.isErr);
});

test("engine that hangs while it opens a session is named", async () => {
    const head = await RawHead.create();
    head.site.targets.get("b")?.engine.hang();
    head.join();
    await head.site.clock.advanceAsync(1100, 10);
    const [failed] = head.of("stageFailed");
    assert.equal(failed?.target, "b");
    assert.equal(failed?.failure.code, requestCodes.noCapacity.number);
});
