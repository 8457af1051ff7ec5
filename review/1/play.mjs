// Some answers of some replicas turn into bytes without end. See claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { Client, isTroubled, now, runCase, sleep, sound, streamHeaders, usualReplicas } from "../lib/site.mjs";

/** Megabytes a second that one replica sends: less than the 125 of a gateway's link. */
const rate = 100;
/** Share of its answers that a faulty replica spoils, and how long: `garble` in the site file. */
const share = 0.03;
const trouble = { from: 3_000, length: 5_000, every: 10_000, times: 4 };
const playTime = 44_000;
/** Events of a spoilt answer before the bytes that are no event. */
const soundEvents = 5;

/** Clients abandon a stream after a gap of this many milliseconds (PROTOCOL.md, "Requests"). */
const maxGap = 2_000;

const block = Buffer.alloc(250_000, "y\n");
const isSpoiling = at => isTroubled && at >= trouble.from
    && Math.floor((at - trouble.from) / trouble.every) < trouble.times && (at - trouble.from) % trouble.every < trouble.length;

await runCase(dirname(fileURLToPath(import.meta.url)), async site => {
    let startedAt = Infinity;
    let spoilt = 0;
    let due = 0;
    /** Answers with a few events, then with bytes that are no event, until the caller closes. */
    const spoil = async (seen, response, replica) => {
        spoilt++;
        site.record.add(`${replica.id} answers ${seen.id} with bytes without end`);
        seen.isSpoilt = true;
        await sleep(120);
        response.writeHead(200, { ...replica.headers(seen), "Content-Type": "text/event-stream" });
        const first = Number(seen.headers["last-event-id"] ?? 0) + 1;
        for (let id = first; id < first + soundEvents && !response.destroyed; id++) {
            response.write(`id: ${id}\ndata: token ${id}\n\n`);
            await sleep(20);
        }
        const sentFrom = now();
        let sent = 0;
        const timer = setInterval(() => {
            while (!response.destroyed && !response.writableNeedDrain && sent < (now() - sentFrom) * rate * 1_000) {
                response.write(block);
                sent += block.length;
            }
        }, 2);
        response.once("close", () => {
            clearInterval(timer);
            site.record.add(`${seen.id} is closed after ${Math.round(sent / 1e6)} MB, ${Math.round(now() - sentFrom)} ms`);
        });
    };
    const answer = (seen, response, replica) => {
        if (isSpoiling(now() - startedAt)) {
            due += seen.url.startsWith("/diag/") ? share : 0;
            if (due >= 1) {
                due--;
                spoil(seen, response, replica);
                return;
            }
        }
        sound(seen, response, replica);
    };
    const replicas = usualReplicas(site.zones).map(replica => replica.id.startsWith("i-head")
        ? { ...replica, answer }
        : replica);
    await site.start({
        machines: site.zones.map((zone, index) => ({ name: `front-${index + 1}`, zone })),
        replicas,
    });
    startedAt = now();
    const results = [];
    const open = new Set();
    // 43 streams and 6 plain requests a second, as on the sheet, on kept connections.
    const clients = site.machines.map(machine => Array.from({ length: 60 }, () => new Client(site, machine)));
    const idle = clients.map(list => [...list]);
    const send = async (index, options) => {
        const client = idle[index].pop();
        if (client === undefined) {
            return;
        }
        const result = await client.call(options);
        results.push(result);
        idle[index].unshift(client);
    };
    let turn = 0;
    site.every(1_000 / 49, () => {
        if (now() - startedAt < playTime) {
            turn++;
            const index = turn % site.machines.length;
            const call = turn % 8 === 0
                ? send(index, { path: "/ordr/2f", deadline: 1_500 })
                : send(index, { path: "/diag/2f", headers: streamHeaders(), maxGap });
            open.add(call);
            void call.then(() => open.delete(call));
        }
    });
    site.machines.forEach(machine => machine.answeredAt = [now()]);
    site.every(1_000, () => site.machines.forEach(machine => {
        const askedAt = now();
        void machine.probe().then(status => {
            if (status !== 0) {
                machine.answeredAt.push(now());
            }
            site.record.add(`probe of ${machine.name}: ${status} after ${Math.round(now() - askedAt)} ms`);
        });
    }));
    await sleep(playTime);
    await Promise.race([Promise.all(open), sleep(8_000)]);

    const say = text => site.record.say(text);
    // CONFIG: of the requests unanswered at their route's TimeoutMs, more than half have no answer half a second later.
    // Streams have 20 s, so only plain requests can come that far in this run.
    const plain = results.filter(({ path }) => path.startsWith("/ordr/"));
    const lasting = result => result.endedAt - result.sentAt;
    const unanswered = plain.filter(result => lasting(result) > 800).length;
    const unansweredLater = plain.filter(result => lasting(result) > 1_300).length;
    const longestSilence = Math.max(...site.machines.map(machine => longestPause(machine.answeredAt)));
    say(`requests ${results.length}, complete ${results.filter(({ outcome }) => outcome === "complete").length}, spoilt answers ${spoilt}`);
    say(`longest time in which a process answered no probe: ${Math.round(longestSilence)} ms; peak memory ${site.machines.map(({ peakMb }) => Math.round(peakMb)).join()} MB; ends ${site.machines.map(({ ends }) => ends.length).join()}`);
    say(`CONFIG: ${plain.length} plain requests, unanswered at TimeoutMs ${unanswered}, of these half a second later ${unansweredLater} (more than half break the rule)`);
    return unanswered >= 8 && unansweredLater > unanswered / 2;
});

/** The longest time between two answers. */
function longestPause(times) {
    return Math.max(0, ...times.slice(1).map((time, index) => time - times[index]));
}
