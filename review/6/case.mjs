// A model replica spoils the head of some of its answers: a byte of the name of one header line is another one.
// MIXED: a client gets a success without the replica's signature, or with a body that is not the replica's whole body.
import { ModelReplica, headLines, modelEngine, modelHeaders, modelService } from "../lib-2/model.mjs";
import { key, limits, route, runCase } from "../lib-2/site.mjs";

const streams = 160;
const atOnce = 8;
const events = 20;
/** The replica spoils one answer of this number: x = 0.05. */
const spoiledEach = 20;
/** When it does so, in milliseconds after the first stream: for_s = 5. */
const trouble = { from: 1_000, until: 6_000 };

/** The line "Content-Type: ..." with a space in the place of its hyphen. */
function spoil(lines) {
    return lines.map(line => line.replace("Content-Type", "Content Type"));
}

await runCase(new URL("record.txt", import.meta.url), async (site, isTrouble) => {
    site.store.put("op", "config", {
        Version: 7,
        Routes: [{
            ...route, Name: "chat", PathPrefix: "/chat/", RouteType: "streaming", Service: modelService, Resumable: true,
            TimeoutMs: 20_000, TargetLatencyMs: 500, GapAimMs: 200,
        }],
        Services: [{ Name: modelService, Engine: modelEngine }],
        Limits: limits,
        Tenants: [{ Name: "acme", ApiKeys: [key] }],
    });
    const spoiled = new Set();
    let startedAt = Infinity;
    const isInTrouble = () => {
        const after = performance.now() - startedAt;
        return isTrouble && after >= trouble.from && after < trouble.until;
    };
    // One replica of two is faulty: share = 0.5.
    const faulty = new ModelReplica(site, "i-1", {
        events,
        head: (run, replica) => {
            const lines = headLines(run, replica);
            if (!isInTrouble() || run.number % spoiledEach !== spoiledEach - 1) {
                return lines;
            }
            spoiled.add(run.id);
            site.record(`replica ${replica.id} spoils its answer to ${run.id}`);
            return spoil(lines);
        },
    });
    await faulty.start();
    await new ModelReplica(site, "i-2", { events }).start();
    const gateway = await site.startGateway("front-1");
    let next = 0;
    let mixed = 0;
    let served = 0;
    const client = async () => {
        while (next < streams) {
            const id = `s-${next++}`;
            const reply = await site.call(gateway, {
                path: `/chat/${id}`, method: "POST", body: "hello", id, headers: modelHeaders, deadline: 20_000,
                timeout: 10_000,
            });
            const signature = reply.headers["waxwingspar-replica-signature"];
            const numbers = [...reply.body.matchAll(/^id: (\d+)$/gm)].map(([, number]) => Number(number));
            const isWhole = numbers.length === events && numbers.every((number, index) => number === index);
            const isSuccess = reply.status >= 200 && reply.status < 300;
            served += isSuccess && isWhole && signature !== undefined ? 1 : 0;
            site.record(`client got ${id}: ${reply.status}, ${reply.end}, signature ${signature ?? "missing"}, events `
                + `${numbers[0] ?? "none"} to ${numbers.at(-1) ?? "none"}`);
            if (isSuccess && reply.end === "complete" && (signature === undefined || !isWhole)) {
                mixed++;
                site.record(`MIXED: ${id} is a success ${signature === undefined ? "without a signature, " : ""}`
                    + `${reply.end}, with ${numbers.length} of ${events} events`);
            }
        }
    };
    startedAt = performance.now();
    await Promise.all(Array.from({ length: atOnce }, client));
    const uncaught = gateway.log.match(/uncaught exception/g)?.length ?? 0;
    site.record(`${streams} streams sent, ${served} served whole, ${spoiled.size} answers spoiled, ${mixed} wrong `
        + `successes, ${uncaught} uncaught exceptions`);
    if (served < streams / 2) {
        throw new Error("most streams were not served");
    }
    return mixed > 0;
});
