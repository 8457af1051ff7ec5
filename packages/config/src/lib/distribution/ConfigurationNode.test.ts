import { checkHistory } from "@waxwingspar/history";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type SimulatedProcess, SimulatedSite } from "../testing/SimulatedSite.js";

const bound = 4000;

test("a change is in force everywhere within the bound", async () => {
    const site = await startedSite(["a", "b", "c"], 20);
    await acceptAndSpread(site, site.processes[7]!);
    assertHistory(site);
});

test("in an idle site the number of store reads does not grow with the processes of a data centre", async () => {
    const reads = [];
    for (const size of [4, 16, 48]) {
        const site = await startedSite(["a"], size);
        const before = site.table.faults.arrivals.read;
        await site.clock.advanceAsync(10_000);
        reads.push(site.table.faults.arrivals.read - before);
        site.stopAll();
    }
    assert(Math.max(...reads) < Math.min(...reads) * 1.2, `reads: ${reads.join(", ")}`);
});

test("readers that die or hang are replaced within the bound", async () => {
    for (const fault of ["kill", "hang"] as const) {
        const site = await startedSite(["a", "b"], 16);
        const operator = site.processes[20]!;
        const readers = readersOf(site, "a");
        readers.forEach(reader => site[fault](reader));
        await acceptAndSpread(site, operator);
        assertHistory(site);
    }
});

test("readers without a way to the store learn from another data centre", async () => {
    const site = await startedSite(["a", "b"], 8);
    site.processes.filter(one => one.host.dataCentre === "a").forEach(one => one.reachesStore = false);
    await acceptAndSpread(site, site.processes[12]!);
    assertHistory(site);
});

test("data centres that cannot talk both learn from the store", async () => {
    const site = await startedSite(["a", "b"], 8);
    site.cuts.add("a b");
    await acceptAndSpread(site, site.processes[12]!);
    assertHistory(site);
});

test("the newest revision is known only if every process reports its own, and its changes are applied", async () => {
    const site = await startedSite(["a"], 6);
    await acceptAndSpread(site, site.processes[0]!);
    const newcomer = site.processes[3]!;
    assert.equal((await site.settle(newcomer.node.findNewest())).unwrapOr(0), 1);
    site.hang(site.processes[5]!);
    assert.ok((await site.settle(newcomer.node.findNewest())).isErr);
    site.stopAll();
});

test("an accepted change survives a restore of the store from a copy, and later changes are accepted", async () => {
    const site = await startedSite(["a", "b"], 8);
    const restore = site.table.saveCopy();
    await acceptAndSpread(site, site.processes[3]!);
    restore();
    await site.clock.advanceAsync(2_000);
    await acceptAndSpread(site, site.processes[12]!);
    assertHistory(site);
});

test("readers with stale reads neither return to an older revision nor delay other processes", async () => {
    const site = await startedSite(["a", "b"], 8);
    const rows = await site.table.scan("", "", 1000);
    assert(rows.isOk);
    await acceptAndSpread(site, site.processes[12]!);
    readersOf(site, "a").forEach(reader => reader.staleRows = rows.value);
    await acceptAndSpread(site, site.processes[12]!);
    assertHistory(site);
});

test("with the store down a new process is ready once it has the revision of its peers", async () => {
    const site = await startedSite(["a"], 6);
    await acceptAndSpread(site, site.processes[0]!);
    site.table.faults.set({ down: true });
    const newcomer = site.processes[3]!;
    site.kill(newcomer);
    await site.settle(site.start(newcomer));
    assert.deepEqual([newcomer.node.ready, newcomer.node.revision], [true, 1]);
    site.processes.filter(one => one !== newcomer).forEach(one => site.kill(one));
    void site.start(newcomer);
    await site.clock.advanceAsync(10_000);
    assert.equal(newcomer.node.ready, false, "ready without contact to the store or a peer");
    site.table.faults.set({ down: false });
    await site.until(() => newcomer.node.ready);
    assert.equal(newcomer.node.revision, 1);
});

test("an hour without the store keeps the configuration, refuses changes, and ends within the bound", async () => {
    const site = await startedSite(["a", "b"], 3);
    const operator = site.processes[1]!;
    await acceptAndSpread(site, operator);
    site.table.faults.set({ down: true });
    site.liveList.faults.set({ down: true });
    const refused = await site.settle(site.change(operator, "refused", 1));
    assert.deepEqual(refused.isErr && refused.error.map(one => one.code.name), ["store-unavailable"]);
    await site.clock.advanceAsync(3_600_000, 100);
    assert(site.processes.every(one => one.node.revision === 1 && one.membership.stale));
    assert(site.processes.every(one => one.membership.members().length === 6), "a process was dropped by a stale list");
    site.table.faults.set({ down: false });
    site.liveList.faults.set({ down: false });
    await acceptAndSpread(site, operator);
    assertHistory(site);
});

test("a process that was down for more revisions than the log retains loads a snapshot, then entries", async () => {
    const site = await startedSite(["a"], 4);
    const [stoppedProcess, operator] = site.processes.filter(one => !readersOf(site, "a").includes(one));
    assert(stoppedProcess !== undefined && operator !== undefined);
    site.kill(stoppedProcess);
    for (let number = 0; number < 1030; number++) {
        await site.settle(site.change(operator, `s${number % 450}`, number + 1));
    }
    await site.settle(site.start(stoppedProcess));
    assert.equal(stoppedProcess.node.state.digest, operator.node.state.digest);
    assert((site.calls.get("config.snapshot") ?? 0) > 0, "the snapshot was not used");
    await acceptAndSpread(site, operator);
});

test("a new process uses a parent in another data centre if its own was replaced and the list is old", async () => {
    const site = await startedSite(["a", "b"], 12);
    await acceptAndSpread(site, site.processes[20]!);
    const old = site.processes.filter(one => one.host.dataCentre === "a");
    old.forEach(one => site.kill(one));
    const newcomer = site.add("a-new", "a");
    const started = site.clock.now();
    await site.settle(site.start(newcomer));
    assert(site.clock.now() - started <= bound, `ready after ${site.clock.now() - started} ms`);
});

test("progress names the process that is behind, and none if all have the revision", async () => {
    const site = await startedSite(["a", "b"], 12);
    const operator = site.processes[0]!;
    await acceptAndSpread(site, operator);
    const good = await site.settle(operator.node.progress(1));
    assert.deepEqual([good.hosts, good.behindCount], [24, 0]);
    const hung = site.processes.find(one => one !== operator && !readersOf(site, one.host.dataCentre).includes(one))!;
    site.hang(hung);
    await acceptAndSpread(site, operator);
    await site.clock.advanceAsync(3000);
    const late = await site.settle(operator.node.progress(2));
    assert.deepEqual([late.behindCount, late.behind.map(one => one.process)], [1, [hung.name]]);
});

test("a process that announces its leaving is avoided immediately, while it is still in the live list", async () => {
    const site = await startedSite(["a"], 8);
    const reader = readersOf(site, "a")[0]!;
    await site.settle(reader.node.announceLeaving());
    const witness = site.processes.find(one => !readersOf(site, "a").includes(one) && one !== reader)!;
    await site.until(() => witness.membership.members().some(one => one.state === "leaving"), 3000);
    await acceptAndSpread(site, witness);
});

const siteEvent = fc.oneof(
    fc.record({ what: fc.constant("change" as const), who: fc.nat(), value: fc.integer({ min: 1, max: 50 }) }),
    fc.record({ what: fc.constantFrom("kill" as const, "hang" as const, "restart" as const), who: fc.nat() }),
    fc.record({ what: fc.constantFrom("slow" as const, "cutOff" as const), who: fc.nat() }),
    fc.record({
        what: fc.constantFrom("storeDown" as const, "storeSlow" as const, "lostAnswer" as const, "heal" as const),
    }),
    fc.record({ what: fc.constant("partition" as const) }),
);
type SiteEvent = typeof siteEvent extends fc.Arbitrary<infer T> ? T : never;

test("any interleaving: revisions only grow, digests agree, and all is in force in the end", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(fc.tuple(siteEvent, fc.nat(1500)), { maxLength: 14 }), async steps => {
            const site = await startedSite(["a", "b"], 6);
            const pending: Promise<unknown>[] = [];
            for (const [step, pause] of steps) {
                applyEvent(site, step, pending);
                await site.clock.advanceAsync(pause);
            }
            await heal(site);
            await site.settle(Promise.all(pending));
            await acceptAndSpread(site, site.processes[0]!, 60_000);
            await site.clock.advanceAsync(bound);
            // The time bound cannot be met while the store or a link is down, so only the other rules are checked.
            assertHistory(site, Number.POSITIVE_INFINITY);
        }),
        { numRuns: 25, includeErrorInReport: true },
    );
});

function applyEvent(site: SimulatedSite, step: SiteEvent, pending: Promise<unknown>[]): void {
    const process = "who" in step ? site.processes[step.who % site.processes.length] : undefined;
    const running = process !== undefined && !process.dead && !process.hung;
    switch (step.what) {
        case "change":
            return running ? void pending.push(site.change(process, `s${step.value % 3}`, step.value)) : undefined;
        case "kill":
        case "hang":
            return running ? site[step.what](process) : undefined;
        case "restart":
            return running ? undefined : void site.start(process!);
        case "slow":
            process!.slowness = 300;
            return;
        case "cutOff":
            process!.reachesStore = false;
            return;
        case "storeDown":
            return site.table.faults.set({ down: true });
        case "storeSlow":
            return site.table.faults.set({ delay: 400, answerDelay: 400 });
        case "lostAnswer":
            return site.table.faults.set({ losesAfter: 1 });
        case "partition":
            return void site.cuts.add("a b");
        case "heal":
            return site.table.faults.set({ down: false, delay: 0, answerDelay: 0 });
    }
}

async function heal(site: SimulatedSite): Promise<void> {
    site.table.faults.set({ down: false, delay: 0, answerDelay: 0, losesAfter: 0 });
    site.cuts.clear();
    site.processes.forEach(process => {
        process.slowness = 0;
        process.reachesStore = true;
    });
    const down = site.processes.filter(process => process.dead || process.hung);
    await site.settle(Promise.all(down.map(process => site.start(process))));
}

async function startedSite(centres: string[], perCentre: number): Promise<SimulatedSite> {
    const site = new SimulatedSite(centres, perCentre);
    await site.startAll();
    await site.clock.advanceAsync(2000);
    return site;
}

let changes = 0;

/** Sends a change to a process and asserts that it is accepted and in force everywhere within the bound. */
async function acceptAndSpread(site: SimulatedSite, operator: SimulatedProcess, limit = 10_000): Promise<void> {
    const outcome = await site.settle(site.change(operator, "spread", ++changes), limit);
    assert(outcome.isOk, outcome.isErr ? JSON.stringify(outcome.error) : "");
    const took = await site.until(() => site.inForce(outcome.value.revision), limit);
    assert(took <= bound, `in force after ${took} ms`);
}

function readersOf(site: SimulatedSite, dataCentre: string): SimulatedProcess[] {
    const witness = site.processes.find(one => one.host.dataCentre === dataCentre && !one.dead && !one.hung)!;
    const names = witness.membership.readers(dataCentre).map(one => one.process);
    return site.processes.filter(one => names.includes(one.name));
}

function assertHistory(site: SimulatedSite, configurationBound = bound): void {
    site.stopAll();
    const report = checkHistory(site.lines, { configurationBound });
    assert.deepEqual(report.violations, []);
    assert(report.rules.configuration.passed > 0);
}
