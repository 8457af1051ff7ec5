import { type Address, type Hello, type Link, linkPair, type LinkPool } from "@waxwingspar/transport";
import { failure, ManualClock, type Outcome, requestCodes, transportCodes } from "@waxwingspar/utils";
import assert from "node:assert/strict";
import test from "node:test";
import { Result } from "true-myth";
import { type ReportedClaim, type ReportRequest } from "./ClaimReport.js";
import { createReportCollector, type ReportingProcess } from "./createReportCollector.js";
import { reportMethods } from "./reportMethods.js";

type Report = (request: ReportRequest) => readonly ReportedClaim[];

const request: ReportRequest = { series: "p1", before: 9 };
const clock = new ManualClock();

function claim(keyHash: string): ReportedClaim {
    return { keyHash, generation: 1, runner: { target: "t", incarnation: "1" }, state: "ran" };
}

function hello(process: string, role: Hello["role"]): Hello {
    return { type: "hello", protocol: 1, process, role, incarnation: "1", dataCentre: "d" };
}

/** Links to processes by port; connections to other ports are refused. */
function linksTo(reports: readonly Report[], role: Hello["role"] = "entry"): LinkPool {
    const connect = ({ port }: Address): Promise<Outcome<Link>> => {
        const report = reports[port];
        if (report === undefined) {
            return Promise.resolve(Result.err(failure(transportCodes.notConnected, "refused")));
        }
        const methods = reportMethods(report);
        const pair = linkPair({
            left: { hello: hello("e", role) },
            right: { hello: hello("t", "agent"), methods },
            clock,
        });
        return Promise.resolve(Result.ok(pair.left));
    };
    return { connect, current: () => undefined, onOpen: () => undefined, close: () => undefined };
}

function processes(...known: readonly boolean[]): ReportingProcess[] {
    return known.map((isLive, port) => ({
        process: `t${port}`,
        address: { host: "127.0.0.1", port },
        isLive,
    }));
}

async function collect(
    asked: readonly ReportingProcess[] | undefined,
    links: LinkPool,
): Promise<Outcome<readonly ReportedClaim[]>> {
    const collector = createReportCollector({
        processes: () => asked,
        own: () => [claim("own")],
        links,
        concurrency: 2,
    });
    const outcome = collector(request);
    await clock.advanceAsync(5_000, 50);
    return outcome;
}

function refusalOf(outcome: Outcome<unknown>): string {
    assert.ok(outcome.isErr && outcome.error.code === requestCodes.claimUnavailable);
    assert.ok(outcome.error.retryAfter !== undefined);
    return outcome.error.message;
}

test("every process is asked for the claims of the series below the request's generation limit", async () => {
    const heard: ReportRequest[] = [];
    const reports = ["a", "b", "c"].map((key): Report => asked => {
        heard.push(asked);
        return [claim(key)];
    });
    const outcome = await collect(processes(true, true, true), linksTo(reports));
    assert.deepEqual(outcome.unwrapOr([]).map(({ keyHash }) => keyHash), ["own", "a", "b", "c"]);
    assert.deepEqual(heard, [request, request, request]);
});

test("collecting fails while a process does not respond or the list of processes is unknown", async () => {
    assert.match(refusalOf(await collect(processes(true, true), linksTo([() => []]))), /t1 has not reported/);
    assert.match(refusalOf(await collect(undefined, linksTo([]))), /not known yet/);
    assert.match(refusalOf(await collect(processes(true), linksTo([() => []], "agent"))), /t0 has not reported/);
});

test("a retry asks only the processes that have not responded", async () => {
    const asked = [0, 0];
    const reports = [0, 1].map((index): Report => () => {
        asked[index] = (asked[index] ?? 0) + 1;
        return [claim(`of ${index}`)];
    });
    const running = [...reports.slice(0, 1)];
    const links = linksTo(running);
    const collector = createReportCollector({ processes: () => processes(true, true), own: () => [], links });
    const collectAgain = async (): Promise<Outcome<readonly ReportedClaim[]>> => {
        const outcome = collector(request);
        await clock.advanceAsync(1_000, 50);
        return outcome;
    };
    refusalOf(await collectAgain());
    running.push(...reports.slice(1));
    assert.equal((await collectAgain()).unwrapOr([]).length, 2);
    assert.deepEqual(asked, [1, 1]);
    const later = collector({ ...request, before: 20 });
    await clock.advanceAsync(1_000, 50);
    assert.ok((await later).isOk);
    assert.deepEqual(asked, [2, 2], "another era");
});

test("a process known only from the configuration is skipped when nothing listens at its address", async () => {
    const outcome = await collect(processes(true, false), linksTo([() => [claim("a")]]));
    assert.equal(outcome.unwrapOr([]).length, 2);
});
