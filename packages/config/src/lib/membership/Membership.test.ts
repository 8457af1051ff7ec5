import { type LiveHost } from "@waxwingspar/stores";
import { ManualClock } from "@waxwingspar/utils";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { emptyListDigest, ListHistory } from "./ListHistory.js";
import { Membership } from "./Membership.js";
import { rankByWeight } from "./rendezvous.js";

const minute = 60_000;

function setUp() {
    const clock = new ManualClock(1000);
    const self = { ...place("me", 1, "a"), incarnation: "me#1" };
    return { clock, membership: new Membership({ self, clock }) };
}

function place(process: string, port: number, dataCentre: string, role: "entry" | "agent" = "entry") {
    return { process, role, host: "10.0.0.1", port, dataCentre, region: "r" };
}

function host(process: string, port: number, dataCentre = "a", state: LiveHost["state"] = "live"): LiveHost {
    return { ...place(process, port, dataCentre), state };
}

function names(membership: Membership, options?: { unreachable: boolean; }): string[] {
    return membership.entries(options).map(one => one.process).sort();
}

function stateOf(membership: Membership, process: string): string | undefined {
    return membership.members().find(one => one.process === process)?.state;
}

test("an older list than the last one changes nothing", () => {
    const { clock, membership } = setUp();
    membership.updateList([host("x", 2)], 0);
    clock.advance(100);
    assert.equal(membership.updateList([], 500), false);
    assert.deepEqual(names(membership), ["me", "x"]);
});

test("a process that announces its leaving is out before the list says so", () => {
    const { membership } = setUp();
    membership.updateList([host("x", 2)]);
    membership.recordHello({ process: "x", incarnation: "x#1" });
    membership.recordLeaving("x", "x#1");
    assert.deepEqual(names(membership), ["me"]);
});

test("a replacement at the same address wins over the list that still shows the old one", () => {
    const { clock, membership } = setUp();
    membership.updateList([host("old", 2)]);
    membership.recordHello({ process: "new", incarnation: "new#1", role: "entry", dataCentre: "a" }, {
        host: "10.0.0.1",
        port: 2,
    });
    assert.deepEqual(names(membership), ["me", "new"]);
    clock.advance(100);
    membership.updateList([host("old", 2)]);
    assert.deepEqual(names(membership), ["me", "new"]);
    clock.advance(100);
    membership.updateList([host("new", 2)]);
    clock.advance(minute);
    membership.updateList([host("new", 2)]);
    assert.equal(stateOf(membership, "old"), undefined);
});

test("a new incarnation of a leaving process is live, and late words of the old one are ignored", () => {
    const { clock, membership } = setUp();
    membership.updateList([host("x", 2)]);
    membership.recordHello({ process: "x", incarnation: "x#1" });
    membership.recordLeaving("x", "x#1");
    membership.recordHello({ process: "x", incarnation: "x#2" });
    clock.advance(100);
    membership.updateList([host("x", 2, "a", "leaving")]);
    membership.recordHello({ process: "x", incarnation: "x#1" });
    membership.recordLeaving("x", "x#1");
    assert.equal(stateOf(membership, "x"), "live");
    clock.advance(100);
    membership.updateList([host("x", 2)]);
    clock.advance(100);
    membership.updateList([host("x", 2, "a", "leaving")]);
    assert.equal(stateOf(membership, "x"), "leaving", "a later leaving state in the list applies again");
});

test("a single process that disappears from the list is evicted after the grace period", () => {
    const { clock, membership } = setUp();
    const all = [1, 2, 3, 4, 5, 6].map(port => host(`x${port}`, port + 10));
    membership.updateList(all);
    clock.advance(1000);
    membership.updateList(all.slice(1));
    assert.equal(stateOf(membership, "x1"), "unreachable");
    clock.advance(31_000);
    membership.confirmList(0);
    assert.equal(stateOf(membership, "x1"), undefined);
});

test("a data centre that vanishes keeps its part of shares for an hour, and takes no work", () => {
    const { clock, membership } = setUp();
    const far = [1, 2, 3, 4].map(port => host(`b${port}`, port + 10, "b"));
    membership.updateList([host("x", 2), ...far]);
    for (let passed = 0; passed < 55; passed++) {
        clock.advance(minute);
        membership.updateList([host("x", 2)]);
    }
    assert.deepEqual(names(membership), ["me", "x"]);
    assert.equal(names(membership, { unreachable: true }).length, 6);
    clock.advance(6 * minute);
    membership.confirmList(0);
    assert.equal(names(membership, { unreachable: true }).length, 2);
});

test("a cut-off process keeps its last list, marked stale", () => {
    const { clock, membership } = setUp();
    membership.updateList([host("x", 2), host("y", 3, "b")]);
    clock.advance(60 * minute);
    assert.equal(membership.stale, true);
    assert.deepEqual(names(membership), ["me", "x", "y"]);
});

test("a process that cannot be reached is not a reader until its next contact or the end of the suspicion", () => {
    const { clock, membership } = setUp();
    membership.updateList([host("x", 2), host("y", 3)]);
    const first = membership.readers("a").find(one => one.process !== "me")!;
    membership.recordFailure(first.process);
    assert(!membership.readers("a").some(one => one.process === first.process));
    membership.recordHello({ process: first.process, incarnation: "1" });
    assert(membership.readers("a").some(one => one.process === first.process));
    membership.recordFailure(first.process);
    clock.advance(11_000);
    assert(membership.readers("a").some(one => one.process === first.process));
});

test("the loss of a process leaves the ranking of the others unchanged", () => {
    const { clock, membership } = setUp();
    const all = Array.from({ length: 40 }, (_unused, index) => host(`x${index}`, index + 10));
    membership.updateList(all);
    const before = membership.ranked("a").map(one => one.process);
    clock.advance(1);
    membership.updateList(all.filter(one => one.process !== before[0]));
    const after = membership.ranked("a").map(one => one.process);
    assert.deepEqual(after, before.slice(1));
});

test("reused rankings equal newly computed ones", () => {
    const step = fc.oneof(
        fc.record({ what: fc.constant("list" as const), hosts: fc.uniqueArray(fc.nat(9), { maxLength: 9 }) }),
        fc.record({ what: fc.constantFrom("fail" as const, "hello" as const, "leave" as const), who: fc.nat(9) }),
    );
    fc.assert(fc.property(fc.array(fc.tuple(step, fc.nat(20_000)), { maxLength: 30 }), steps => {
        const { clock, membership } = setUp();
        for (const [one, pause] of steps) {
            takeStep(membership, one);
            clock.advance(pause + 1);
            for (const centre of ["a", "b"]) {
                const usable = membership.members().filter(({ dataCentre, state, suspect }) =>
                    dataCentre === centre && state === "live" && !suspect
                );
                assert.deepEqual(membership.ranked(centre), rankByWeight(`reader/${centre}`, usable));
            }
        }
    }));
});

type Step = { what: "list"; hosts: number[]; } | { what: "fail" | "hello" | "leave"; who: number; };

function takeStep(membership: Membership, step: Step): void {
    if (step.what === "list") {
        membership.updateList(step.hosts.map(index => host(`x${index}`, index + 10, index % 2 === 0 ? "a" : "b")));
        return;
    }
    const process = `x${step.who}`;
    if (step.what === "fail") {
        membership.recordFailure(process);
    }
    else if (step.what === "leave") {
        membership.recordLeaving(process);
    }
    else {
        membership.recordHello({ process, incarnation: `${process}#${membership.members().length}` });
    }
}

test("applying the difference between two live lists gives the same list and digest", () => {
    const hosts = fc.uniqueArray(fc.record({ name: fc.nat(8), port: fc.nat(3) }), { selector: one => one.name });
    fc.assert(fc.property(fc.array(hosts, { minLength: 1, maxLength: 8 }), fc.nat(), (lists, at) => {
        const sender = new ListHistory();
        const receiver = new ListHistory();
        lists.forEach((list, index) => {
            sender.update(list.map(one => host(`h${one.name}`, one.port)));
            if (index === at % lists.length) {
                receiver.update(sender.list());
            }
        });
        const change = sender.since(receiver.digest);
        assert(change !== undefined);
        receiver.update(receiver.changed(change));
        assert.equal(receiver.digest, sender.digest);
        const byName = (a: LiveHost, b: LiveHost) => a.process < b.process ? -1 : 1;
        assert.deepEqual(receiver.list().sort(byName), sender.list().sort(byName));
        receiver.update([]);
        assert.equal(receiver.digest, emptyListDigest);
    }));
});
