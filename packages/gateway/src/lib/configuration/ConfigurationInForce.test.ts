import { type Clock, ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { currentMoment } from "../Moment.js";
import { type Configuration, type Route } from "./Configuration.js";
import { ConfigurationInForce } from "./ConfigurationInForce.js";

function route(name: string, pathPrefix: string, isPublic = false): Route {
    return {
        name,
        hostname: "a.example",
        pathPrefix,
        kind: "idempotent",
        timeout: 1_000,
        latencyTarget: 100,
        maxAttempts: 2,
        priority: 0,
        isPublic,
        isResumable: false,
        shares: [{ service: "s", weight: 1 }],
    };
}

function configuration(version: number, key = "k1"): Configuration {
    return {
        version,
        routes: [route("short", "/a/"), route("long", "/a/b/"), route("open", "/open/", true)],
        services: [{ name: "s" }],
        organisations: [{ name: "o", keys: [key] }],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    };
}

function inForce(maxConfirmationAge: number | undefined = 4_600) {
    const clock = new ManualClock();
    const state = new ConfigurationInForce({ clock, maxConfirmationAge });
    state.offer(configuration(5));
    state.confirm(currentMoment(clock));
    return { clock, state };
}

test("an older or equal version is rejected", () => {
    const { state } = inForce();
    assert.equal(state.offer(configuration(4)), false);
    assert.equal(state.offer(configuration(5)), false);
    assert.equal(state.offer(configuration(9)), true);
    assert.equal(state.current?.version, 9);
});

test("the longest prefix wins, and the host is matched case-insensitively", () => {
    const { state } = inForce();
    assert.equal(state.findRoute("A.example", "/a/b/c")?.name, "long");
    assert.equal(state.findRoute("a.example", "/a/x")?.name, "short");
    assert.equal(state.findRoute("a.example", "/a"), undefined);
    assert.equal(state.findRoute("b.example", "/a/x"), undefined);
});

test("a revoked key is unknown as soon as the new version is in force", () => {
    const { state } = inForce();
    assert.equal(state.judgeCredential(route("r", "/"), "k1").kind, "accepted");
    state.offer(configuration(6, "k2"));
    assert.equal(state.judgeCredential(route("r", "/"), "k1").kind, "unknown");
});

test("no key is accepted once the last confirmation is older than the maximum age", () => {
    const { clock, state } = inForce(4_600);
    clock.advance(4_601);
    assert.equal(state.judgeCredential(route("r", "/"), "k1").kind, "unconfirmed");
    assert.equal(state.judgeCredential(route("r", "/", true), undefined).kind, "accepted");
});

test("the age of a confirmation counts from the sending of its call", () => {
    const { clock, state } = inForce(4_600);
    const asked = currentMoment(clock);
    clock.advance(4_000);
    state.confirm(asked);
    clock.advance(700);
    assert.equal(state.judgeCredential(route("r", "/"), "k1").kind, "unconfirmed");
});

test("keys stay valid without confirmations if there is no maximum age", () => {
    const clock = new ManualClock();
    const state = new ConfigurationInForce({ clock, maxConfirmationAge: undefined });
    state.offer(configuration(5));
    clock.advance(60_000);
    assert.equal(state.judgeCredential(route("r", "/"), "k1").kind, "accepted");
});

test("the age of a confirmation includes time in which the host was suspended and its monotonic clock stopped", () => {
    const manual = new ManualClock();
    let suspended = 0;
    const clock: Clock = {
        now: () => manual.now(),
        date: () => new Date(manual.date().getTime() + suspended),
        schedule: (callback, delay) => manual.schedule(callback, delay),
    };
    const state = new ConfigurationInForce({ clock, maxConfirmationAge: 4_600 });
    state.offer(configuration(5));
    state.confirm(currentMoment(clock));
    suspended = 5_000;
    assert.equal(state.judgeCredential(route("r", "/"), "k1").kind, "unconfirmed");
    state.confirm(currentMoment(clock));
    assert.equal(state.judgeCredential(route("r", "/"), "k1").kind, "accepted");
});

test("setting the wall clock back does not reduce the age of a confirmation", () => {
    const manual = new ManualClock();
    let offset = 0;
    const clock: Clock = {
        now: () => manual.now(),
        date: () => new Date(manual.date().getTime() + offset),
        schedule: (callback, delay) => manual.schedule(callback, delay),
    };
    const state = new ConfigurationInForce({ clock, maxConfirmationAge: 4_600 });
    state.offer(configuration(5));
    state.confirm(currentMoment(clock));
    offset = -60_000;
    manual.advance(4_601);
    assert.equal(state.judgeCredential(route("r", "/"), "k1").kind, "unconfirmed");
});
