import { type Stage, TcpLinkPool } from "@waxwingspar/transport";
import { assert } from "@waxwingspar/utils";
import { benchCredentials, benchHello, benchLayers, startBenchAgent } from "./benchAgent.js";
import { benchOpen } from "./DirectLink.js";
import { InstantEngine } from "./InstantEngine.js";

/** What the measured process tells the process of its peers. @internal */
export interface PeerTask {
    /** Which stage of the three the measured agent is. */
    readonly role: "head" | "middle" | "last";
    readonly port: number;
    readonly streams: number;
    readonly tokens: number;
}

/** What the process of the peers tells the measured one. @internal */
export type PeerReport = { readonly kind: "ready"; } | { readonly kind: "started"; } | { readonly kind: "ended"; };

const ranges = { head: [0, 3], middle: [4, 7], last: [8, 11] } as const;

/** Runs the entry and the other two agents, and streams many answers at once. */
async function run({ role, port, streams, tokens }: PeerTask): Promise<void> {
    const stages: Stage[] = [];
    for (const name of ["head", "middle", "last"] as const) {
        const [first, last] = ranges[name];
        const own = name === role
            ? port
            : (await startBenchAgent({ name, engine: new InstantEngine(first, last, benchLayers) })).port;
        stages.push({ target: name, host: "127.0.0.1", port: own, first, last });
    }
    const pool = new TcpLinkPool({ hello: benchHello("entry", "entry"), credentials: benchCredentials });
    const [head] = stages;
    assert(head !== undefined && stages.at(-1)?.last === benchLayers - 1);
    const link = await pool.connect({ host: head.host, port: head.port });
    assert(link.isOk, "the head takes a link");
    let started = 0;
    let ended = 0;
    const seen = new Set<string>();
    link.value.onMessage(message => {
        if (message.type === "tokens" && !seen.has(message.request)) {
            seen.add(message.request);
            started++;
            if (started === streams) {
                send({ kind: "started" });
            }
        }
        assert(message.type !== "failed", message.type === "failed" ? message.failure.message : "");
        if (message.type === "done") {
            ended++;
            if (ended === streams) {
                send({ kind: "ended" });
            }
        }
    });
    for (let index = 0; index < streams; index++) {
        link.value.send({ ...benchOpen(`request-${index}`, tokens), stages });
    }
}

function send(report: PeerReport): void {
    process.send?.(report);
}

process.once("message", task => void run(task as PeerTask));
send({ kind: "ready" });
