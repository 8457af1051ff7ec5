import { flushTime } from "@waxwingspar/connections";
import { requestCodes } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import test, { type TestContext } from "node:test";
import { type ErrorBody } from "./http/errorBody.js";
import { type MessageOf } from "./testing/FakeAgents.js";
import { type RawAnswer, RawCaller, settle } from "./testing/RawCaller.js";
import { callerToken, TestSite, type TestSiteOptions } from "./testing/TestSite.js";

const limits = { stopLead: 1_000, stopLimit: 3_000, maxOpenPerConnection: 3 };
/** The steps of the test's clock are longer than those of the event loop. */
const slack = 500;
const stopTime = limits.stopLead + limits.stopLimit + slack;

/** An entry whose calls run until the test answers them. */
async function startSite(context: TestContext, options: TestSiteOptions["limits"] = {}) {
    const site = await new TestSite({ limits: { ...limits, ...options } }).start();
    const callers: RawCaller[] = [];
    context.after(async () => {
        callers.forEach(({ socket }) => socket.destroy());
        const stopped = site.entry.stop();
        await site.advance(stopTime);
        await stopped;
    });
    const connect = () => {
        const caller = new RawCaller(site.port);
        callers.push(caller);
        return caller;
    };
    return { site, agent: site.agent(0), connect };
}

/** @param name - The request's id and path. */
function request(name: string, body = ""): string {
    return [
        `POST /services/records/${name} HTTP/1.1`,
        "Host: x",
        `Authorization: Bearer ${callerToken}`,
        `X-Request-Id: ${name}`,
        `Content-Length: ${body.length}`,
        "",
        body,
    ].join("\r\n");
}

function sendHead(site: TestSite, { request }: MessageOf<"call">): void {
    site.agent(0).send({ type: "reply", request, status: 200, headers: {} });
}

function sendEnd(site: TestSite, { request, path }: MessageOf<"call">): void {
    const load = site.agent(0).load(false);
    site.agent(0).send({ type: "replyBody", request, data: Buffer.from(path), last: true, load });
}

function summary({ id, status, closes }: RawAnswer): string {
    return `${id} ${status} ${closes ? "close" : "keep"}`;
}

function execution({ body }: RawAnswer): string {
    return (JSON.parse(body) as ErrorBody).error.execution;
}

test("requests sent ahead of a stop's answers get theirs before the close", async context => {
    const { site, agent, connect } = await startSite(context);
    const caller = connect();
    caller.send(request("a"));
    const first = await agent.wait("call");
    void site.entry.stop();
    caller.send(request("b") + request("c"));
    const last = await agent.wait("call", 3);
    for (const call of [last, first, ...agent.all("call").slice(1, 2)]) {
        sendHead(site, call);
        sendEnd(site, call);
        await settle();
    }
    assert.deepEqual(caller.answers.map(summary).map(text => text.slice(0, 5)), ["a 200", "b 200", "c 200"]);
});

test("the answer to a request whose head was read before the stop tells that its connection closes", async context => {
    const { site, agent, connect } = await startSite(context);
    const caller = connect();
    const text = request("a", "body");
    caller.send(text.slice(0, -1));
    await settle();
    void site.entry.stop();
    caller.send(text.slice(-1));
    const call = await agent.wait("call");
    sendHead(site, call);
    sendEnd(site, call);
    await settle();
    assert.deepEqual(caller.answers.map(summary), ["a 200 close"]);
});

test("a request that lies in its socket when the entry stops accepting is refused, not cut off", async context => {
    const { site, connect } = await startSite(context, { stopLead: 0 });
    const caller = connect();
    caller.send("GET /healthz HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\n\r\n");
    await settle();
    caller.send(request("b"));
    const stopped = site.entry.stop();
    await settle();
    assert.deepEqual(caller.answers.map(summary), ["a 200 keep", "b 503 close"]);
    await site.advance(stopTime);
    assert.equal(await stopped, 0);
});

test("the stop's limit answers what runs, and refuses what has not begun", async context => {
    const { site, agent, connect } = await startSite(context);
    const [running, reading, ahead] = [connect(), connect(), connect()];
    running.send(request("run"));
    reading.send(request("read", "body").slice(0, -1));
    ahead.send(["a", "b", "c", "d"].map(name => request(name)).join(""));
    await agent.wait("call", 4);
    const stopped = site.entry.stop();
    await site.advance(stopTime);
    assert.equal(await stopped, 5);
    await settle();
    assert.deepEqual([running, reading, ahead].map(({ answers }) => answers.map(execution)), [
        ["unknown"],
        ["not run"],
        ["unknown", "unknown", "unknown", "not run"],
    ]);
});

test("a request that waits between two attempts when the limit passes is refused as not run", async context => {
    const { site, connect } = await startSite(context, { stopLead: 0, stopLimit: flushTime });
    const caller = connect();
    caller.send(request("a"));
    for (const agent of [site.agent(0), site.agent(1)]) {
        const { request } = await agent.wait("call");
        agent.send({
            type: "callFailed",
            request,
            failure: { code: requestCodes.stopping.number, message: "refused" },
        });
    }
    void site.entry.stop();
    site.clock.advance(0);
    await settle();
    assert.deepEqual(caller.answers.map(execution), ["not run"]);
});

test("no request runs behind the refusal that closes its connection", async context => {
    const { site, agent, connect } = await startSite(context);
    const caller = connect();
    caller.send(["a", "b", "c", "d"].map(name => request(name)).join(""));
    await agent.wait("call", 3);
    const answer = async (call: MessageOf<"call">) => {
        sendHead(site, call);
        sendEnd(site, call);
        await settle();
    };
    const [a, b, c] = agent.all("call") as [MessageOf<"call">, MessageOf<"call">, MessageOf<"call">];
    await answer(a);
    await answer(b);
    caller.send(request("e"));
    await settle();
    await answer(c);
    assert.deepEqual(caller.answers.map(summary), ["a 200 keep", "b 200 keep", "c 200 keep", "d 503 close"]);
    assert.deepEqual(agent.all("call").map(({ path }) => path), ["/a", "/b", "/c"]);
});

/** Length of a request's body; undefined for a probe. */
const playRequest = fc.constantFrom(0, 30, 400, undefined);
const playStep = fc.record({
    type: fc.constantFrom("send", "send", "head", "end"),
    /** Which caller sends, or which of the calls in question is answered. */
    which: fc.nat({ max: 5 }),
    upTo: fc.constantFrom("part", "head", "request", "everything"),
    /** Whether all that is on its way is handled before the next step. */
    settles: fc.boolean(),
});
type PlayStep = typeof playStep extends fc.Arbitrary<infer Step> ? Step : never;

/** What is known of a request that is sent. */
interface SentRequest {
    readonly name: string;
    readonly text: string;
    /** The step after which its head had been read. */
    headRead: number;
    /** The step in which its answer began. */
    begun: number;
    hasEnded: boolean;
}

/** A caller with a list of requests, which it sends in pieces. */
class PlayCaller {
    readonly requests: readonly SentRequest[];
    private sent = 0;

    constructor(readonly caller: RawCaller, name: number, sizes: readonly (number | undefined)[]) {
        this.requests = sizes.map((size, index) => {
            const id = `${name}-${index}`;
            const probe = `GET /readyz HTTP/1.1\r\nHost: x\r\nX-Request-Id: ${id}\r\n\r\n`;
            const text = size === undefined ? probe : request(id, "x".repeat(size));
            return { name: id, text, headRead: Infinity, begun: Infinity, hasEnded: false };
        });
    }

    send(upTo: PlayStep["upTo"]): void {
        const text = this.requests.map(({ text }) => text).join("");
        const ends = [...text.matchAll(/\r\n\r\n(x*)/g)].map(({ index, 0: { length } }) => index + length);
        const next = upTo === "head" ? text.indexOf("\r\n\r\n", this.sent) + 4 : ends.find(end => end > this.sent) ?? 0;
        const end = upTo === "everything" ? text.length : upTo === "part" ? (this.sent + next) >> 1 : next;
        if (this.caller.isOpen && end > this.sent) {
            this.caller.send(text.slice(this.sent, end));
            this.sent = end;
        }
    }

    /** Notes that all that was sent has been read. */
    noteRead(step: number): void {
        this.begunRequests.forEach(request => request.headRead = Math.min(request.headRead, step));
    }

    /** The requests whose heads were sent. */
    get begunRequests(): readonly SentRequest[] {
        let start = 0;
        return this.requests.filter(({ text }) => {
            const headEnd = start + text.indexOf("\r\n\r\n") + 4;
            start += text.length;
            return headEnd <= this.sent;
        });
    }

    /** Checks what the caller got by the end of the stop. @param calls - The names of those that reached a target. */
    check(calls: ReadonlySet<string>): void {
        const { caller: { answers, isClosed }, begunRequests } = this;
        const last = answers.at(-1);
        assert.ok(isClosed, "the connection is closed");
        assert.deepEqual(answers.map(({ id }) => id), begunRequests.slice(0, answers.length).map(({ name }) => name));
        assert.ok(answers.slice(0, -1).every(({ closes, isWhole }) => isWhole && !closes), "nothing follows a close");
        answers.forEach((answer, index) => this.checkAnswer(answer, begunRequests[index] as SentRequest, calls));
        if (last?.isWhole !== false) {
            const unanswered = begunRequests.slice(answers.length);
            const closing = begunRequests[answers.length - 1];
            const decided = closing !== undefined && calls.has(closing.name) ? closing.begun : 0;
            assert.ok(last?.closes === true || unanswered.length === 0, "nothing is cut off");
            assert.deepEqual(unanswered.filter(({ headRead }) => headRead < decided), [], "what was read is answered");
            assert.deepEqual(unanswered.filter(({ name }) => calls.has(name)), [], "nothing runs behind a close");
        }
    }

    private checkAnswer(answer: RawAnswer, { name, begun, hasEnded }: SentRequest, calls: ReadonlySet<string>): void {
        if (!answer.isWhole) {
            assert.ok(begun < Infinity && !hasEnded, `${name} is broken off`);
        }
        else if (answer.status === 200) {
            assert.ok(hasEnded || !calls.has(name), `${name} looks complete`);
        }
        else if (!answer.body.includes("ready")) {
            assert.equal(execution(answer), calls.has(name) ? "unknown" : "not run", name);
        }
    }
}

/** An entry with callers, of which requests, answers and a stop are played in a given order. */
class StopPlay {
    private step = 0;
    private stopped: Promise<number> | undefined;
    private readonly callers: readonly PlayCaller[];

    constructor(private readonly site: TestSite, requests: readonly (readonly (number | undefined)[])[]) {
        this.callers = requests.map((sizes, name) => new PlayCaller(new RawCaller(site.port), name, sizes));
    }

    private get calls(): readonly (SentRequest & MessageOf<"call">)[] {
        const sent = new Map(this.callers.flatMap(({ requests }) => requests).map(request => [request.name, request]));
        return this.site.agent(0).all("call").map(call =>
            Object.assign(sent.get(call.path.slice(1)) as SentRequest, call)
        );
    }

    async play(steps: readonly PlayStep[]): Promise<void> {
        for (const { type, which, upTo, settles } of steps) {
            if (type === "send") {
                await this.settle();
                this.step++;
                this.callers[which % this.callers.length]?.send(upTo);
            }
            else {
                this.answer(type, which);
            }
            if (settles) {
                await this.settle();
            }
            this.step++;
        }
    }

    stop(): void {
        this.stopped = this.site.entry.stop();
    }

    private async settle(): Promise<void> {
        await settle();
        this.callers.forEach(caller => caller.noteRead(this.step));
    }

    private answer(type: string, which: number): void {
        const open = this.calls.filter(({ begun, hasEnded }) =>
            type === "head" ? begun === Infinity : begun < Infinity && !hasEnded
        );
        const call = open[which % open.length];
        if (call === undefined) {
            return;
        }
        if (type === "head") {
            call.begun = this.step;
            sendHead(this.site, call);
        }
        else {
            call.hasEnded = true;
            sendEnd(this.site, call);
        }
    }

    async end(): Promise<void> {
        for (let passed = 0; passed < slack; passed += slack / 10) {
            this.site.clock.advance(slack / 10);
            await settle();
        }
        await this.stopped;
        await settle();
        const calls = new Set(this.calls.map(({ name }) => name));
        this.callers.forEach(caller => caller.check(calls));
    }
}

test("in any order of requests, answers and a stop, all that was read is answered and no answer is false", async () => {
    const requests = fc.array(fc.array(playRequest, { minLength: 1, maxLength: 7 }), { minLength: 2, maxLength: 3 });
    const phase = fc.array(playStep, { maxLength: 20 });
    const property = fc.asyncProperty(requests, fc.tuple(phase, phase, phase, phase), async (requests, phases) => {
        const site = await new TestSite({ limits }).start();
        const play = new StopPlay(site, requests);
        await play.play(phases[0]);
        play.stop();
        await play.play(phases[1]);
        site.clock.advance(limits.stopLead);
        await play.play(phases[2]);
        await site.advance(limits.stopLimit - flushTime - 1);
        await play.play(phases[3]);
        site.clock.advance(1);
        await play.end();
    });
    await fc.assert(property, { numRuns: 200, includeErrorInReport: true });
});
