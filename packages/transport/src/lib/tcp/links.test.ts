import { failure, ManualClock, requestCodes, seededRandom, transportCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect as connectTcp, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { Result } from "true-myth";
import { buildFrame, encodeMessage } from "../frames/codec.js";
import { type Link } from "../Link.js";
import { type Address } from "../LinkPool.js";
import { type Hello } from "../messages/common.js";
import { type Message } from "../messages/Message.js";
import { type LinkCredentials } from "./credentials.js";
import { LinkServer, type LinkServerOptions } from "./LinkServer.js";
import { TcpLinkPool, type TcpLinkPoolOptions } from "./TcpLinkPool.js";

const oldKey = { id: "old", secret: "0123456789abcdef0123456789abcdef" };
const newKey = { id: "new", secret: "fedcba9876543210fedcba9876543210" };
const insecure: LinkCredentials = { insecure: true };

function hello(process: string, protocol = 1): Hello {
    return { type: "hello", protocol, process, role: "agent", incarnation: `${process}-1`, dataCentre: "a" };
}

/** Starts a server that collects its links; it is closed when the test ends. */
async function listen(t: TestContext, options: Partial<LinkServerOptions> = {}) {
    const links: Link[] = [];
    const waiting: ((link: Link) => void)[] = [];
    const server = new LinkServer({
        hello: hello("server"),
        credentials: insecure,
        ...options,
        onLink: link => {
            links.push(link);
            options.onLink?.(link);
            waiting.splice(0).forEach(resolve => resolve(link));
        },
    });
    const address = await server.listen();
    assert.ok(address.isOk);
    t.after(() => server.close());
    const nextLink = () => new Promise<Link>(resolve => waiting.push(resolve));
    return { server, address: address.value, links, nextLink };
}

function poolFor(t: TestContext, options: Partial<TcpLinkPoolOptions> = {}): TcpLinkPool {
    const pool = new TcpLinkPool({ hello: hello("client"), credentials: insecure, ...options });
    t.after(() => pool.close());
    return pool;
}

async function open(pool: TcpLinkPool, address: Address): Promise<Link> {
    const link = await pool.connect(address);
    assert.ok(link.isOk, link.isErr ? link.error.message : "");
    return link.value;
}

function closed(link: Link): Promise<string | undefined> {
    return new Promise(resolve => link.onClose(reason => resolve(reason?.code.name)));
}

function nextMessage(link: Link): Promise<Message> {
    return new Promise(resolve => link.onMessage(resolve));
}

test("both ends receive the peer's hello, and messages pass in both directions", async t => {
    const { address, nextLink } = await listen(t, { credentials: { keys: [oldKey] } });
    const accepted = nextLink();
    const link = await open(poolFor(t, { credentials: { keys: [oldKey] } }), address);
    const other = await accepted;
    assert.equal(link.peer.process, "server");
    assert.equal(other.peer.process, "client");
    const arrived = nextMessage(other);
    link.send({ type: "cancel", request: "r1", epoch: 2 });
    assert.deepEqual(await arrived, { type: "cancel", request: "r1", epoch: 2 });
    const answered = nextMessage(link);
    other.send({ type: "credit", request: "r1", epoch: 2, upTo: 9 });
    assert.deepEqual(await answered, { type: "credit", request: "r1", epoch: 2, upTo: 9 });
});

test("large messages can be sent as soon as a link opens, in both directions", async t => {
    const data = new Uint8Array(20_000);
    const piece: Message = { type: "replyBody", request: "r", data, last: false };
    for (const credentials of [insecure, { keys: [oldKey] }]) {
        const { address, nextLink } = await listen(t, { credentials, onLink: link => link.send(piece) });
        const accepted = nextLink();
        const pool = poolFor(t, { credentials });
        const arrived = new Promise<Message>(resolve =>
            pool.onOpen(link => {
                link.onMessage(resolve);
                link.send(piece);
            })
        );
        await open(pool, address);
        assert.equal((await arrived).type, "replyBody");
        assert.equal((await nextMessage(await accepted)).type, "replyBody");
    }
});

test("concurrent connects share one attempt and one link", async t => {
    const { address, links } = await listen(t);
    const pool = poolFor(t);
    const opened = await Promise.all([open(pool, address), open(pool, address), open(pool, address)]);
    assert.equal(new Set(opened).size, 1);
    assert.equal(await open(pool, address), opened[0]);
    await opened[0].request("link.ping", {}, 1000);
    assert.equal(links.length, 1);
});

test("calls run in both directions and keep their failure codes", async t => {
    const refusal = failure(requestCodes.overloaded, "queue is full", { retryAfter: 250 });
    const { address, nextLink } = await listen(t, {
        methods: {
            echo: async params => Result.ok(params),
            refuse: async () => Result.err(refusal),
            fault: async () => Promise.reject(new Error("broken")),
        },
    });
    const accepted = nextLink();
    const link = await open(
        poolFor(t, { methods: { name: async (_, from) => Result.ok(from.peer.process) } }),
        address,
    );
    assert.deepEqual(await link.request("echo", { a: [1] }, 1000), Result.ok({ a: [1] }));
    assert.deepEqual(await link.request("refuse", {}, 1000), Result.err({ ...refusal, path: undefined }));
    assert.deepEqual(await (await accepted).request("name", {}, 1000), Result.ok("server"));
    for (const method of ["missing", "constructor", "__proto__"]) {
        const missing = await link.request(method, {}, 1000);
        assert.equal(missing.isErr && missing.error.code, transportCodes.noSuchMethod);
    }
    const fault = await link.request("fault", {}, 1000);
    assert.equal(fault.isErr && fault.error.code.execution, "unknown");
});

test("a call without an answer is unknown after its timeout, and when the link closes", async t => {
    const { address, nextLink } = await listen(t, { methods: { hang: () => new Promise(() => undefined) } });
    const clock = new ManualClock();
    const accepted = nextLink();
    const link = await open(poolFor(t, { clock }), address);
    const timed = link.request("hang", {}, 500);
    clock.advance(500);
    const late = await timed;
    assert.equal(late.isErr && late.error.code, transportCodes.requestTimeout);
    const cut = link.request("hang", {}, 5000);
    (await accepted).close();
    const lost = await cut;
    assert.equal(lost.isErr && lost.error.code, transportCodes.connectionLost);
});

test("only holders of an accepted key connect, and old and new key both do", async t => {
    const refusals: string[] = [];
    const credentials = { keys: [newKey, oldKey] };
    const { address } = await listen(t, { credentials, onRefused: reason => refusals.push(reason.code.name) });
    await open(poolFor(t, { credentials: { keys: [oldKey] } }), address);
    await open(poolFor(t, { credentials: { keys: [newKey] } }), address);
    const wrong = { id: "old", secret: "00000000000000000000000000000000" };
    for (const stranger of [{ keys: [wrong] }, { keys: [{ ...oldKey, id: "other" }] }, insecure]) {
        const refused = await poolFor(t, { credentials: stranger }).connect(address);
        assert.equal(refused.isErr && refused.error.code.execution, "not run");
    }
    assert.ok(refusals.includes("peer-refused"));
});

test("a server without the key is refused by its client", async t => {
    const { address } = await listen(t, { credentials: { keys: [{ ...oldKey, secret: newKey.secret }] } });
    const refused = await poolFor(t, { credentials: { keys: [oldKey] } }).connect(address);
    assert.equal(refused.isErr && refused.error.code, transportCodes.notConnected);
});

test("nothing readable crosses a link with keys", async t => {
    const { address, nextLink } = await listen(t, { credentials: { keys: [oldKey] } });
    const seen: Buffer[] = [];
    const relay = createServer(client => {
        const upstream = connectTcp(address);
        client.on("data", chunk => seen.push(chunk)).pipe(upstream).on("data", chunk => seen.push(chunk)).pipe(client);
        client.on("error", () => undefined);
        upstream.on("error", () => undefined);
    });
    relay.listen(0, "127.0.0.1");
    await once(relay, "listening");
    const port = (relay.address() as { port: number; }).port;
    const accepted = nextLink();
    const link = await open(poolFor(t, { credentials: { keys: [oldKey] } }), { host: "127.0.0.1", port });
    const arrived = nextMessage(await accepted);
    link.send({ type: "cancel", request: "a-secret-request", epoch: 1 });
    await arrived;
    assert.equal(Buffer.concat(seen).includes("a-secret-request"), false);
    link.close();
    relay.close();
});

test("plaintext is refused on addresses other than loopback", async t => {
    const server = new LinkServer({ hello: hello("server"), credentials: insecure, host: "0.0.0.0" });
    const listening = await server.listen();
    assert.equal(listening.isErr && listening.error.code, transportCodes.peerRefused);
    const refused = await poolFor(t).connect({ host: "192.0.2.1", port: 9 });
    assert.equal(refused.isErr && refused.error.code, transportCodes.notConnected);
});

/** Opens a TCP connection without the link protocol, as a hostile peer does. */
async function rawSocket(t: TestContext, address: Address): Promise<Socket> {
    const socket = connectTcp(address);
    socket.on("error", () => undefined);
    socket.resume();
    t.after(() => socket.destroy());
    await once(socket, "connect");
    return socket;
}

test("another protocol version is refused on both sides", async t => {
    const reasons: string[] = [];
    const { address, links } = await listen(t, { onRefused: reason => reasons.push(reason.message) });
    const socket = await rawSocket(t, address);
    const end = once(socket, "close");
    socket.write(buildFrame([encodeMessage(hello("newer", 2))]));
    await end;
    assert.deepEqual(reasons, ["protocol 2, expected 1"]);
    assert.equal(links.length, 0);
    const newer = await listen(t, { hello: hello("newer", 2) });
    const refused = await poolFor(t).connect(newer.address);
    assert.equal(refused.isErr && refused.error.code, transportCodes.notConnected);
});

test("a malformed frame closes the link with its number", async t => {
    const { address, nextLink } = await listen(t);
    const second = encodeMessage(hello("again"));
    for (const garbage of [Buffer.from([0, 0, 0, 2, 0xc1, 0xc1]), buildFrame([second])]) {
        const accepted = nextLink();
        const socket = await rawSocket(t, address);
        socket.write(buildFrame([encodeMessage(hello("stranger"))]));
        const reason = closed(await accepted);
        socket.write(garbage);
        assert.equal(await reason, "protocol-violation");
    }
});

test("before its hello a peer cannot make the server buffer a large frame", async t => {
    const refusals: string[] = [];
    const { address } = await listen(t, { onRefused: reason => refusals.push(reason.message) });
    const socket = await rawSocket(t, address);
    const end = once(socket, "close");
    socket.write(Buffer.from([0, 1, 0, 0]));
    await end;
    assert.deepEqual(refusals, ["frame of 65536 bytes, limit 4096"]);
});

test("a peer that says no hello is dropped in time", async t => {
    const clock = new ManualClock();
    const reasons: string[] = [];
    const onRefused = (reason: { message: string; }) => reasons.push(reason.message);
    const { address, server } = await listen(t, { clock, onRefused, limits: { connectTimeout: 300 } });
    const socket = await rawSocket(t, address);
    await once(socket, "data");
    const end = once(socket, "close");
    clock.advance(300);
    await end;
    assert.deepEqual(reasons, ["no hello in time"]);
    assert.equal(server.openLinks.length, 0);
});

test("a peer that takes nothing is cut off as too slow", async t => {
    const { address, nextLink } = await listen(t, { limits: { maxQueued: 100_000 } });
    const accepted = nextLink();
    const socket = await rawSocket(t, address);
    socket.write(buildFrame([encodeMessage(hello("slow"))]));
    const link = await accepted;
    socket.pause();
    const reason = closed(link);
    const data = new Uint8Array(50_000);
    for (let turn = 0; turn < 2000 && link.open; turn++) {
        link.send({ type: "replyBody", request: "r", data, last: false });
        await new Promise(resolve => setImmediate(resolve));
    }
    assert.equal(await reason, "peer-too-slow");
    assert.ok(link.queuedBytes < 200_000);
});

test("a silent peer is pinged, and given up when it stays silent", async t => {
    const clock = new ManualClock();
    const { address, nextLink } = await listen(t, { clock, limits: { heartbeat: 1000, silence: 3000 } });
    const accepted = nextLink();
    const socket = await rawSocket(t, address);
    socket.write(buildFrame([encodeMessage(hello("frozen"))]));
    const link = await accepted;
    const reason = closed(link);
    clock.advance(2999);
    assert.equal(link.open, true);
    clock.advance(1001);
    assert.equal(await reason, "connection-lost");
});

test("after a failure an address is backed off, then tried again", async t => {
    const clock = new ManualClock();
    const { server, address } = await listen(t);
    await server.close();
    const pool = poolFor(t, { clock, random: seededRandom(1), minBackoff: 100 });
    const first = await pool.connect(address);
    assert.ok(first.isErr && first.error.retryAfter === undefined);
    const second = await pool.connect(address);
    const wait = second.isErr ? second.error.retryAfter : undefined;
    assert.ok(wait !== undefined && wait >= 50 && wait <= 100, `waits ${wait}`);
    clock.advance(wait);
    const again = await listen(t, { port: address.port });
    assert.equal((await open(pool, again.address)).peer.process, "server");
});

test("an announced close is not a failure, and the address can be connected again immediately", async t => {
    const { server, address } = await listen(t);
    const pool = poolFor(t);
    const link = await open(pool, address);
    const reason = closed(link);
    await server.close();
    assert.equal(await reason, undefined);
    assert.equal(pool.current(address), undefined);
    const next = await listen(t, { port: address.port });
    assert.notEqual(await open(pool, next.address), link);
});

test("a terminated process loses its links on both sides as lost", async t => {
    const { server, address, nextLink } = await listen(t);
    const accepted = nextLink();
    const pool = poolFor(t);
    const link = await open(pool, address);
    await accepted;
    const call = link.request("hang", {}, 60_000);
    server.terminate();
    const outcome = await call;
    assert.equal(outcome.isErr && outcome.error.code, transportCodes.connectionLost);
    assert.equal(link.open, false);
    const other = await listen(t);
    const joined = other.nextLink();
    const second = poolFor(t);
    await open(second, other.address);
    const lost = closed(await joined);
    second.terminate();
    await lost;
    const refused = await second.connect(other.address);
    assert.equal(refused.isErr && refused.error.code, transportCodes.notConnected);
});
