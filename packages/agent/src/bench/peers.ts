import { type Stage, TcpLinkPool } from "@waxwingspar/transport";
import { assert } from "@waxwingspar/utils";
import { benchCredentials, benchHello, benchLayers, startBenchAgent } from "./benchAgent.js";
import { benchOpen } from "./DirectLink.js";
import { InstantEngine } from "./InstantEngine.js";

/** The message from the measured process to the peer process. @internal */
export interface PeerTask {
    /** The stage of the measured agent in a chain of three. */
    readonly role: "head" | "middle" | "last";
    readonly port: number;
    readonly streams: number;
    readonly tokens: number;
}

/** A message from the peer process to the measured process. @internal */
export type PeerReport = { readonly kind: "ready"; } | { readonly kind: "started"; } | { readonly kind: "ended"; };

const ranges = { head: [0, 3], middle: [4, 7], last: [8, 11] } as const;

/** Runs the entry and the other two agents, and streams many answers concurrently. */
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
    assert(link.isOk, "the head accepts a link");
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
