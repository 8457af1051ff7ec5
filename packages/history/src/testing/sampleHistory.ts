import { HistoryBuilder } from "./HistoryBuilder.js";
import { addSampleRequest, type SampleStage } from "./sampleRequest.js";

const layers = 12;

const chain: readonly SampleStage[] = [
    { target: "target-a", first: 0, last: 3, cached: 16 },
    { target: "target-b", first: 4, last: 7, cached: 32 },
    { target: "target-c", first: 8, last: 11, cached: 16 },
];

const otherChain: readonly SampleStage[] = [
    { target: "target-a", first: 0, last: 3, cached: 0 },
    { target: "target-d", first: 4, last: 11, cached: 0 },
];

/**
 * Creates a valid history with cases for every rule: a resumed request, a request that is not idempotent with its
 * duplicates, a refused call, calls to a service, a target that leaves, revisions, orders and writes.
 */
export function sampleHistory(): HistoryBuilder {
    const history = new HistoryBuilder();
    addSampleRequest(history, {
        request: "resumed",
        entry: "entry-1",
        layers,
        promptTokens: 40,
        chunk: 8,
        attempts: [{ stages: chain, tokens: 3 }, { stages: otherChain, tokens: 4 }],
    });
    addSampleRequest(history, {
        request: "publish",
        entry: "entry-2",
        layers,
        promptTokens: 9,
        chunk: 100,
        attempts: [{ stages: otherChain, tokens: 3 }],
        idempotent: false,
        key: "model key",
    });
    addRefusedDuplicate(history);
    addFollower(history);
    addServiceCalls(history);
    addRefusedCall(history);
    addLeavingTarget(history);
    addRevisions(history);
    addOrders(history);
    history.add("store", { event: "write.effect", writeId: "w1" }, { event: "write.effect", writeId: "w2" });
    history.close();
    return history;
}

/** Adds a duplicate of "publish" that reaches another entry and is refused. */
function addRefusedDuplicate(history: HistoryBuilder): void {
    const callerRequest = "caller duplicate";
    const request = "duplicate";
    history.add("caller", { event: "caller.sent", callerRequest, idempotent: false, key: "model key" });
    history.add("entry-1", {
        event: "request.received",
        request,
        organisation: "depot",
        route: "demo",
        callerRequest,
        idempotent: false,
        key: "model key",
    }, { event: "attempt.started", request, epoch: 0, targets: ["target-a"], resumeAt: 0 });
    history.add("target-a", { event: "work.refused", request, epoch: 0, target: "target-a", code: 1014 });
    history.add("entry-1", { event: "request.ended", request, outcome: "not run", code: 1014 });
    history.add("caller", { event: "caller.ended", callerRequest, outcome: "not run", code: 1014 });
}

/** Adds a duplicate of "publish" that receives its answer without running anything itself. */
function addFollower(history: HistoryBuilder): void {
    const request = "follower";
    const key = "model key";
    history.add(
        "entry-1",
        {
            event: "request.received",
            request,
            organisation: "depot",
            route: "demo",
            idempotent: false,
            key,
        },
        { event: "attempt.started", request, epoch: 0, targets: ["target-a", "target-d"], resumeAt: 0 },
        {
            event: "tokens.sent",
            request,
            epoch: 0,
            position: 0,
            ids: [0, 1, 2],
        },
        { event: "request.ended", request, outcome: "completed", tokens: 3 },
    );
}

/** Adds a refused call with the key of a call that ran. */
function addRefusedCall(history: HistoryBuilder): void {
    const request = "refused call";
    history.add("entry-1", {
        event: "request.received",
        request,
        organisation: "depot",
        route: "records",
        idempotent: false,
        key: "order 1",
    }, { event: "request.ended", request, outcome: "not run", code: 1014 });
}

function addServiceCalls(history: HistoryBuilder): void {
    for (const [number, key] of ["order 1", "order 2"].entries()) {
        const request = `call ${number}`;
        const callerRequest = `caller ${request}`;
        const service = "records";
        history.add("caller", { event: "caller.sent", callerRequest, idempotent: false, key });
        history.add("entry-2", {
            event: "request.received",
            request,
            organisation: "depot",
            route: service,
            callerRequest,
            idempotent: false,
            key,
        });
        history.add("target-d", { event: "service.run", request, service, target: "target-d", key });
        history.add(service, { event: "service.effect", service, key, run: number + 1 });
        history.add("entry-2", { event: "request.ended", request, outcome: "completed" });
        history.add("caller", { event: "caller.ended", callerRequest, outcome: "completed", digest: "", expected: "" });
    }
}

/** Adds a target that leaves, accepts a last request within its bound, and restarts as a new incarnation. */
function addLeavingTarget(history: HistoryBuilder): void {
    const target = "target-b";
    const accepted = (request: string) => ({ event: "work.accepted" as const, request, epoch: 0, target });
    history.add(target, { event: "target.leaving", target, bound: 2000 });
    history.time += 2000;
    history.add(target, accepted("in time"));
    history.time += 1000;
    history.add(`${target}#2`, accepted("back again"));
}

function addRevisions(history: HistoryBuilder): void {
    for (const revision of [1, 2, 3]) {
        history.add("operators", { event: "config.accepted", revision, writeId: `change ${revision}` });
        history.time += 1000;
        for (const process of ["entry-1", "entry-2", "target-a"]) {
            history.add(process, { event: "config.applied", revision, digest: `revision ${revision}` });
        }
    }
    history.time += 10_000;
    history.add("target-a", { event: "work.refused", request: "late", epoch: 0, target: "target-a", code: 1010 });
    // A process that starts later applies the newest revision directly.
    history.add("entry-3", { event: "config.applied", revision: 3, digest: "revision 3" });
    history.time += 5000;
    history.add("entry-3", { event: "order.issued", order: "after the restart", fence: 6, target: "target-c" });
}

function addOrders(history: HistoryBuilder): void {
    const target = "target-c";
    for (const [order, fence] of [["load", 4], ["role", 4], ["unload", 5]] as const) {
        history.add("entry-1", { event: "order.issued", order, fence, target });
        history.add(target, { event: "order.applied", order, fence, target });
        history.time += 10;
    }
    history.add(`${target}#2`, { event: "order.applied", order: "after the restart", fence: 6, target });
}
