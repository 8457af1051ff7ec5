import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { Crowd } from "./Crowd.js";
import { LocalSiteUnderTest, type LocalSiteUnderTestOptions } from "./LocalSiteUnderTest.js";
import {
    almostWholeBody,
    almostWholeChunks,
    announcedBody,
    type ClientScript,
    endlessChunks,
    requestsAhead,
    silence,
} from "./scripts.js";

interface EntryPlay extends LocalSiteUnderTestOptions {
    readonly clients: number;
    readonly script: ClientScript;
    /** By default the one for callers. */
    readonly port?: (site: LocalSiteUnderTest) => number;
}

/** The memory of an entry host on the sheets of the first two users, in megabytes. */
const maxMegabytes = 350;
/** The default limit of a model request's body, in bytes. */
const bodyLimit = 1_048_576;
const path = "/v1/completions";
const timeout = 180_000;

/** Plays a crowd and checks what holds while it stays and after it has left. */
async function bear(context: TestContext, { clients, script, port, sockets = Infinity }: EntryPlay): Promise<void> {
    const site = new LocalSiteUnderTest({ sockets: Number.isFinite(sockets) ? sockets : undefined });
    context.after(() => site.stop());
    await site.start();
    const crowd = new Crowd({ port: port?.(site) ?? site.callerPort, clients, script });
    context.after(() => crowd.leave());
    await crowd.play();
    context.diagnostic(`${crowd.open} of ${clients} clients still connected`);
    assert.ok(site.isRunning, "the process has not ended");
    const { openSockets } = site;
    await site.serveOrdinaryCaller();
    context.diagnostic(`${site.peakMegabytes.toFixed(0)} MB at most, ${openSockets} sockets`);
    assert.ok(openSockets <= sockets, `${openSockets} sockets are open`);
    crowd.leave();
    await site.serveOrdinaryCaller();
    assert.ok(site.peakMegabytes <= maxMegabytes, `${site.peakMegabytes.toFixed(0)} MB at most`);
    while (!await site.isObservable()) {
        assert.ok(site.isRunning, "the process has not ended");
    }
}

test("entry bears bodies announced far over the limit", { timeout }, context => {
    return bear(context, { clients: 40, script: announcedBody(path) });
});

test("entry bears chunks without end", { timeout }, context => {
    return bear(context, { clients: 40, script: endlessChunks(path) });
});

test("entry bears bodies that stop short of their length", { timeout }, context => {
    return bear(context, { clients: 200, script: almostWholeBody(path, bodyLimit) });
});

test("entry bears large chunks that stop short of the limit", { timeout }, context => {
    return bear(context, { clients: 200, script: almostWholeChunks(path, bodyLimit, 65_000) });
});

test("entry bears chunks of one byte that stop short of the limit", { timeout }, context => {
    return bear(context, { clients: 40, script: almostWholeChunks(path, 400_000, 1) });
});

test("entry bears requests sent ahead at unknown paths", { timeout }, context => {
    return bear(context, { clients: 100, script: requestsAhead("GET /n HTTP/1.1\r\nHost: a\r\n\r\n", 8_000_000) });
});

test("entry bears more silent connections than it has descriptors", { timeout }, context => {
    return bear(context, { clients: 1_200, script: silence, sockets: 500 });
});

test("entry bears requests sent ahead at its port for operators", { timeout }, context => {
    const script = requestsAhead("GET /n HTTP/1.1\r\nHost: a\r\n\r\n", 8_000_000);
    return bear(context, { clients: 60, script, port: ({ operatorPort }) => operatorPort });
});

test("entry bears silent connections at its port for operators", { timeout }, context => {
    return bear(context, { clients: 1_200, script: silence, sockets: 500, port: ({ operatorPort }) => operatorPort });
});
