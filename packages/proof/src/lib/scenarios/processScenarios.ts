import { setTimeout as pause } from "node:timers/promises";
import { type Scenario, type ScenarioContext } from "./Scenario.js";

/** Milliseconds until the platform's live list shows that a host died or is leaving. */
const liveListDelay = 3000;

function pick({ random }: ScenarioContext, names: readonly string[]): string {
    return names[random.below(names.length)] ?? "";
}

/** Returns the targets of one stage in the data centres that have a single pipeline. */
function near(stage: number): readonly string[] {
    return [`stage-${stage}-1`, `stage-${stage}-2`];
}

const stageDies: Scenario = {
    name: "stage-dies",
    row: "stage dies mid-token",
    summary: "SIGKILL of an agent of stage 2 and its engine; the live list shows it 3 s later",
    async run(context) {
        const { site, markFault } = context;
        const victim = pick(context, near(2));
        markFault();
        await site.killHost(victim);
        await pause(liveListDelay);
        await site.list(victim, undefined);
    },
};

const headDies: Scenario = {
    name: "head-dies",
    row: "stage dies mid-token",
    summary: "SIGKILL of an agent of stage 1, which is the head of requests and holds claims, and its engine",
    async run(context) {
        const { site, markFault } = context;
        const victim = pick(context, near(1));
        markFault();
        await site.killHost(victim);
        await pause(liveListDelay);
        await site.list(victim, undefined);
    },
};

const agentRestarts: Scenario = {
    name: "agent-restarts",
    row: "agent restarts with requests in flight",
    summary: "SIGKILL of an agent of stage 1 and of an agent beside the plain service; both start again at once",
    async run(context) {
        const { site, markFault } = context;
        const victims = [pick(context, near(1)), pick(context, ["records-1", "records-2"])];
        markFault();
        await Promise.all(victims.map(async victim => {
            await site.kill(victim);
            await site.startDaemon(victim);
        }));
    },
};

const entryDies: Scenario = {
    name: "entry-dies",
    row: "entry dies mid-stream",
    summary: "SIGKILL of an entry; it starts again 3 s later; callers retry at another entry under the same key",
    async run(context) {
        const { site, markFault } = context;
        const victim = pick(context, ["entry-1", "entry-2", "entry-3"]);
        markFault();
        await site.kill(victim);
        await pause(liveListDelay);
        await site.startDaemon(victim);
    },
};

const engineHangs: Scenario = {
    name: "engine-hangs",
    row: "engine hangs",
    summary: "SIGSTOP of an engine of stage 2 for 5 s",
    async run(context) {
        const { site, markFault } = context;
        const victim = `engine-${pick(context, near(2))}`;
        markFault();
        site.pause(victim);
        await pause(5000);
        site.resume(victim);
    },
};

const pausedHolder: Scenario = {
    name: "paused-holder",
    expectsStaleOrders: true,
    row: "lease lapses while paused, the holder resumes",
    summary:
        "SIGSTOP of the holders of all three control duties (leases of 3 s), of an entry, which owns claims, and of "
        + "an agent beside the plain service, for 7 s, then SIGCONT; holders check their lease once for many orders",
    async run(context) {
        const { site, markFault, check } = context;
        const centres = ["dc1", "dc2", "dc3"];
        const before = await Promise.all(centres.map(centre => site.findDutyHolder(centre)));
        const holders = before.filter(holder => holder !== undefined);
        const others = [pick(context, ["entry-1", "entry-2", "entry-3"]), pick(context, ["records-1", "records-2"])];
        markFault();
        const victims = new Set([...holders, ...others]);
        victims.forEach(victim => site.pause(victim));
        await pause(7000);
        const after = await Promise.all(centres.map(centre => site.findDutyHolder(centre)));
        victims.forEach(victim => site.resume(victim));
        const moved = after.filter((holder, index) => holder !== undefined && holder !== before[index]).length;
        check({
            name: "another process holds each duty when the paused holder resumes",
            holds: moved === centres.length,
            detail: `${before.join(", ")} before, ${after.join(", ")} after`,
        });
    },
};

const gracefulLeave: Scenario = {
    name: "graceful-leave",
    row: "host leaves while the live list lags",
    summary: "SIGTERM under load of an agent of each stage, one beside the plain service and an entry; the live list "
        + "still shows them live for 3 s",
    async run(context) {
        const { site, markFault } = context;
        const victims = [...[1, 2, 3].map(stage => pick(context, near(stage))), "records-1", "entry-2"];
        markFault();
        const stops = victims.map(victim => site.terminate(victim));
        await pause(liveListDelay);
        await Promise.all(victims.map(victim => site.list(victim, "leaving")));
        await Promise.all(stops);
        await Promise.all(victims.map(victim => site.list(victim, undefined)));
    },
};

const rollingReplacement: Scenario = {
    name: "rolling-replacement",
    row: "host leaves while the live list lags",
    summary: "SIGTERM and restart at the same address of every daemon of dc1, one after the other, under load",
    async run({ site, markFault }) {
        markFault();
        for (const name of ["stage-1-1", "stage-2-1", "stage-3-1", "records-1", "entry-1"]) {
            await site.terminate(name);
            await site.startDaemon(name);
        }
    },
};

const hostReplaced: Scenario = {
    name: "host-replaced",
    row: "host replaced at the same address",
    summary: "SIGKILL of an agent of stage 3 and its engine; both start again at the same address at once, with "
        + "nothing kept, while the live list shows no change",
    async run(context) {
        const { site, markFault } = context;
        const victim = pick(context, near(3));
        markFault();
        await site.killHost(victim);
        await site.startEngine(site.daemon(victim));
        await site.startDaemon(victim);
    },
};

const centreLost: Scenario = {
    name: "data-centre-lost",
    row: "data centre lost",
    summary: "SIGKILL of every process of dc1 at once: entry, pipeline, engines, plain service's agent",
    async run({ site, markFault }) {
        const { daemons, holders } = site.layout;
        const names = [...daemons, ...holders].filter(({ dataCentre }) => dataCentre === "dc1").map(({ name }) => name);
        markFault();
        await Promise.all(names.map(name => site.killHost(name)));
        await pause(liveListDelay);
        await Promise.all(names.map(name => site.list(name, undefined)));
    },
};

/** Scenarios in which processes die, hang, pause, leave or are replaced. @internal */
export const processScenarios: readonly Scenario[] = [
    stageDies,
    headDies,
    agentRestarts,
    entryDies,
    engineHangs,
    pausedHolder,
    gracefulLeave,
    rollingReplacement,
    hostReplaced,
    centreLost,
];
