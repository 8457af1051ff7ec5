import { ManualClock } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import { test } from "node:test";
import { PeerReports } from "./PeerReports.js";

test("a change counts from the first report that it is on its way", () => {
    const clock = new ManualClock();
    const reports = new PeerReports(clock);
    assert.equal(reports.newerFor, undefined);
    for (let time = 0; time < 1_000; time += 200) {
        reports.notePending();
        clock.advance(200);
    }
    assert.equal(reports.newerFor, 1_000);
    reports.noteNewer(5);
    clock.advance(2_000);
    assert.equal(reports.newerFor, 3_000);
    reports.reach(4);
    assert.ok(reports.hasNewer);
    reports.reach(5);
    assert.equal(reports.newerFor, undefined);
});

test("a report that rows are on their way expires when no other follows", () => {
    const clock = new ManualClock();
    const reports = new PeerReports(clock);
    reports.notePending();
    clock.advance(599);
    assert.ok(reports.isPending);
    clock.advance(1);
    assert.equal(reports.newerFor, undefined);
    reports.notePending();
    assert.equal(reports.newerFor, 0);
});

test("a report that is older than what is known does not end the lag", () => {
    const reports = new PeerReports(new ManualClock());
    reports.noteNewer(9);
    reports.noteNewer(7);
    reports.reach(8);
    assert.ok(reports.hasNewer);
    reports.forget();
    assert.equal(reports.hasNewer, false);
});
