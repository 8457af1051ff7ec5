// A model replica spoils one bit of some of its answers: in the line "id: 17" of an event, which becomes "id: 97".
// ORDER: in a stream a piece is missing, or the stream ends as complete before its last piece.
// MIXED: a client gets a success with a body that is not the replica's whole body.
import { eventText, ModelReplica, modelEngine, modelHeaders, modelService } from "../lib-2/model.mjs";
import { key, limits, route, runCase } from "../lib-2/site.mjs";

const streams = 110;
const atOnce = 8;
const events = 30;
const spoiledEvent = 17;
/** The replica spoils one answer of this number: x = 0.05. */
const spoiledEach = 20;
/** When it does so, in milliseconds after the first stream: for_s = 5. */
const trouble = { from: 1_000, until: 6_000 };

/** Bit 3 of the first digit: "1" (0x31) becomes "9" (0x39). */
function spoil(text) {
    return text.replace("id: 1", "id: 9");
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
        event: (run, number, replica) => {
            const text = eventText(run, number);
            if (!isInTrouble() || run.number % spoiledEach !== spoiledEach - 1 || number !== spoiledEvent) {
                return text;
            }
            spoiled.add(run.id);
            site.record(`replica ${replica.id} spoils event ${number} of its answer to ${run.id}`);
            return spoil(text);
        },
    });
    const sound = new ModelReplica(site, "i-2", { events });
    await faulty.start();
    await sound.start();
    const gateway = await site.startGateway("front-1");
    let next = 0;
    let broken = 0;
    let served = 0;
    const client = async () => {
        while (next < streams) {
            const id = `s-${next++}`;
            const reply = await site.call(gateway, {
                path: `/chat/${id}`, method: "POST", body: "hello", id, headers: modelHeaders, deadline: 20_000,
                timeout: 15_000,
            });
            // What an event is, apart from its id: the replicas write its number into its data as well.
            const numbers = [...reply.body.matchAll(/^data: \S+ (\d+)$/gm)].map(([, number]) => Number(number));
            const missing = Array.from({ length: events }, (_, index) => index).filter(one => !numbers.includes(one));
            const isComplete = reply.status === 200 && reply.end === "complete";
            served += isComplete && missing.length === 0 ? 1 : 0;
            site.record(`client got ${id}: ${reply.status}, ${reply.end}, ${numbers.length} of ${events} events`);
            if (isComplete && missing.length > 0) {
                broken++;
                site.record(`ORDER: ${id} ended as complete without the events ${missing[0]} to ${missing.at(-1)}`);
            }
        }
    };
    startedAt = performance.now();
    await Promise.all(Array.from({ length: atOnce }, client));
    site.record(`${streams} streams sent, ${served} served whole, ${spoiled.size} answers spoiled, ${broken} ended as `
        + "complete without a part of their events");
    for (const { id, first, replica } of [...faulty.runs, ...sound.runs].filter(({ first }) => first > 0)) {
        site.record(`${replica} was asked to go on with ${id} at event ${first}`);
    }
    if (served < streams / 2) {
        throw new Error("most streams were not served");
    }
    return broken > 0;
});
