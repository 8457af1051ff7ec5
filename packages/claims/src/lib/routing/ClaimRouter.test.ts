import { MemoryObjectStore, MemoryTableStore } from "@waxwingspar/stores";
import { type Address, type Hello, type Link, type LinkPair, linkPair, type LinkPool } from "@waxwingspar/transport";
import { failure, ManualClock, type Outcome, requestCodes, seededRandom, transportCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { Result } from "true-myth";
import { type Claim, type ClaimRequest } from "../Claims.js";
import { ClaimJournals } from "../journal/ClaimJournals.js";
import { claimMethods } from "./claimMethods.js";
import { ClaimRouter } from "./ClaimRouter.js";
import { type ClaimOwner, OwnerRanking } from "./OwnerRanking.js";
import { partitionOf } from "./partitionOf.js";

const partitions = 4;

function hello(process: string): Hello {
    return { type: "hello", protocol: 1, process, role: "entry", incarnation: "1", dataCentre: "d" };
}

function ownersOf(...names: string[]): ClaimOwner[] {
    return names.map((process, port) => ({ process, address: { host: "127.0.0.1", port } }));
}

function request(key: string, target = "a"): ClaimRequest {
    const runner = { target, incarnation: "1" };
    return { route: "r", organisation: "o", key, digest: "d", runner, retention: 10_000 };
}

class Entry implements LinkPool {
    readonly journals: ClaimJournals;
    readonly router: ClaimRouter;
    readonly pairs = new Map<string, LinkPair>();

    constructor(readonly process: string, private readonly site: Site) {
        const { clock, table, objects } = site;
        const random = seededRandom(1);
        this.journals = new ClaimJournals({ clock, table, objects, random, partitions, writesPerSecond: 400 });
        const owners = () => site.owners;
        this.router = new ClaimRouter({ process, owners, journals: this.journals, links: this, clock });
    }

    connect({ port }: Address): Promise<Outcome<Link>> {
        const peer = this.site.entries[port];
        if (peer === undefined || this.site.unreachable.has(peer.process)) {
            return Promise.resolve(Result.err(failure(transportCodes.notConnected, "refused")));
        }
        const known = this.pairs.get(peer.process);
        const pair = known?.left.open === true ? known : linkPair({
            left: { hello: hello(this.process) },
            right: { hello: hello(peer.process), methods: claimMethods(peer.journals) },
            clock: this.site.clock,
            delay: 1,
        });
        this.pairs.set(peer.process, pair);
        return Promise.resolve(Result.ok(pair.left));
    }

    current(): undefined {
        return undefined;
    }

    onOpen(): void {}

    close(): void {}
}

class Site {
    readonly clock = new ManualClock();
    readonly table = new MemoryTableStore({ clock: this.clock });
    readonly objects = new MemoryObjectStore({ clock: this.clock });
    readonly unreachable = new Set<string>();
    owners = ownersOf("e0", "e1", "e2");
    readonly entries = this.owners.map(({ process }) => new Entry(process, this));

    entry(index: number): Entry {
        const entry = this.entries[index];
        assert.ok(entry);
        return entry;
    }

    /** A key whose partition ranks the given entry first. */
    keyOwnedBy(index: number): string {
        const ranking = new OwnerRanking(() => this.owners, this.clock);
        for (let number = 0;; number++) {
            const partition = partitionOf(request(`k${number}`), partitions);
            if (ranking.rank(partition)[0]?.process === `e${index}`) {
                return `k${number}`;
            }
        }
    }

    async wait(call: Promise<Outcome<Claim>>): Promise<Outcome<Claim>> {
        let open = true;
        void call.finally(() => open = false);
        while (open) {
            await this.clock.advanceAsync(10, 1);
        }
        return call;
    }
}

test("entries agree on the owner, so duplicates find the same claim", async () => {
    const site = new Site();
    const key = site.keyOwnedBy(2);
    const calls = [0, 1, 2].map(index => site.wait(site.entry(index).router.acquire(request(key, `t${index}`))));
    const claims = (await Promise.all(calls)).map(outcome => outcome.unwrapOr(undefined));
    assert.equal(new Set(claims.map(claim => claim?.id)).size, 1);
    assert.equal(claims.filter(claim => claim?.created).length, 1);
    assert.deepEqual(site.entries.map(entry => entry.journals.size), [0, 0, 1]);
});

test("a call whose response is lost is retried and finds the recorded claim", async () => {
    const site = new Site();
    const key = site.keyOwnedBy(1);
    const call = site.entry(0).router.acquire(request(key));
    await site.clock.advanceAsync(1, 1);
    site.entry(0).pairs.get("e1")?.rightToLeft.hold();
    await site.clock.advanceAsync(100, 1);
    assert.equal(site.entry(1).journals.size, 1);
    site.entry(0).pairs.get("e1")?.cut();
    const claim = (await site.wait(call)).unwrapOr(undefined);
    const duplicate = (await site.wait(site.entry(1).router.acquire(request(key, "b")))).unwrapOr(undefined);
    assert.equal(claim?.runner.target, "a");
    assert.equal(duplicate?.id, claim?.id);
});

test("when the owner cannot be reached the next one reads the partition and goes on", async () => {
    const site = new Site();
    const key = site.keyOwnedBy(1);
    const first = (await site.wait(site.entry(0).router.acquire(request(key)))).unwrapOr(undefined);
    site.unreachable.add("e1");
    site.entry(0).pairs.get("e1")?.cut();
    const again = (await site.wait(site.entry(0).router.acquire(request(key, "b")))).unwrapOr(undefined);
    assert.equal(again?.id, first?.id);
    assert.equal(again?.created, false);
});

test("an unresponsive owner costs one timeout and is then tried last", async () => {
    const site = new Site();
    const key = site.keyOwnedBy(1);
    await site.wait(site.entry(0).router.acquire(request(key)));
    site.entry(0).pairs.get("e1")?.leftToRight.hold();
    assert.ok((await site.wait(site.entry(0).router.acquire(request(key)))).isOk);
    const start = site.clock.now();
    assert.ok((await site.wait(site.entry(0).router.acquire(request(key)))).isOk);
    assert.ok(site.clock.now() - start <= 50);
});

test("nobody to reach ends in bounded time as not run", async () => {
    const site = new Site();
    site.owners = ownersOf("x0", "x1", "x2");
    ["e0", "e1", "e2"].forEach(name => site.unreachable.add(name));
    const start = site.clock.now();
    const outcome = await site.wait(site.entry(0).router.acquire(request("k")));
    assert.ok(outcome.isErr && outcome.error.code === requestCodes.claimUnavailable);
    assert.ok(site.clock.now() - start <= 2500);
});

test("a refusal of the owner is final while the store is down", async () => {
    const site = new Site();
    const key = site.keyOwnedBy(1);
    site.table.faults.set({ down: true });
    const outcome = await site.wait(site.entry(0).router.acquire(request(key)));
    assert.ok(outcome.isErr && outcome.error.code === requestCodes.claimUnavailable);
    assert.deepEqual(site.entries.map(entry => entry.journals.open.length), [0, 1, 0]);
});

test("a new owner loads its partitions and the previous one unloads them", async () => {
    const site = new Site();
    const key = site.keyOwnedBy(1);
    await site.wait(site.entry(1).router.acquire(request(key)));
    site.owners = ownersOf("e0", "e2");
    await Promise.all(site.entries.map(entry => entry.router.maintain()));
    assert.equal(site.entry(1).journals.open.length, 0);
    assert.equal(site.entry(0).journals.size + site.entry(2).journals.size, 1);
});

test("the loss of one owner moves only its partitions", () => {
    const clock = new ManualClock();
    const names = Array.from({ length: 20 }, (_, index) => `e${index}`);
    const before = new OwnerRanking(() => all, clock);
    const all = ownersOf(...names);
    const rest = ownersOf(...names.slice(1));
    const after = new OwnerRanking(() => rest, clock);
    for (let partition = 0; partition < 200; partition++) {
        const owner = before.rank(partition)[0]?.process;
        if (owner !== "e0") {
            assert.equal(after.rank(partition)[0]?.process, owner);
        }
    }
});
