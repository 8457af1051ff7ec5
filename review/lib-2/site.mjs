// A small deployment on loopback: the store's stand-in, replicas, and gateways started with the deploy file's `run` line.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Store } from "./store.mjs";

export { pause };

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const hostname = "shop.example";
export const key = "k-2f81c0aa";

/** Finds a free port for TCP and, as the system also uses it for datagrams, most likely for UDP. */
export async function freePort(host = "127.0.0.1") {
    const server = createServer();
    await new Promise(resolve => server.listen(0, host, resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

/** The bounds of the site file's sheet. */
const bounds = {
    SeedLagS: 3,
    ReuseAfterS: 2,
    ContactMs: 3000,
    AckMs: 4000,
    CatchUpS: 4,
    DrainMs: 2000,
    GraceS: 8,
    LossSlackMs: 200,
    ConfigApplyMs: 2000,
    RollbackSlackMs: 250,
    MaxSkewMs: 5000,
    FailClosed: true,
    RevokeMs: 5000,
    RetryBudget: 0.2,
    BudgetWindowS: 10,
    BudgetExtra: 202,
    RecoveryS: 12,
    PassMs: 120,
    RetryAfterS: 0,
    stall_ms: 3000,
    RequireFence: false,
};

export const route = {
    Hostname: hostname,
    TimeoutMs: 2000,
    TargetLatencyMs: 386,
    Priority: 1,
    MaxAttempts: 2,
    Public: false,
    Resumable: false,
};

export const limits = { MaxHeaderBytes: 16384, MaxBodyBytes: 1048576, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000 };

export class Site {
    store = new Store();
    gateways = [];
    replicas = [];
    folder = mkdtempSync(join(tmpdir(), "review-"));

    constructor(recordFile) {
        this.recordFile = recordFile;
        this.startedAt = performance.now();
        writeFileSync(recordFile, "");
    }

    /** Writes a line with the seconds since the start to the record of the case. */
    record(text) {
        const line = `${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)}  ${text}\n`;
        appendFileSync(this.recordFile, line);
    }

    /** Starts a gateway as the deploy file does, and waits until it says that it is ready. */
    async startGateway(name, { host = "127.0.0.1", zone = "a", store = this.store.address, ports, wait = true } = {}) {
        const run = /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy", "system.toml"), "utf8"))[1];
        const chosen = ports ?? {
            front: await freePort(host),
            ready: await freePort(host),
            control: await freePort(host),
            internal: await freePort(host),
            metrics: await freePort(host),
        };
        const settings = {
            Node: name,
            Role: "gateway",
            MachineClass: "front",
            Serves: ["front"],
            Ip: host,
            Zone: zone,
            Region: "r",
            InternalPorts: [chosen.internal, chosen.internal],
            Seeds: [],
            Bootstrap: true,
            HeartbeatMs: 1200,
            Zones: { a: "r", b: "r" },
            Listen: { Front: `${host}:${chosen.front}`, Ready: `${host}:${chosen.ready}` },
            Limits: { CpuShare: 0.513, CpuCores: 1, MemoryMb: 350, MaxFds: 4100, LinkMbps: 1000, DiskMb: 0 },
            Bounds: bounds,
            Platform: { Address: store, form: "table", TxMs: 5, HistoryS: 20 },
        };
        const file = join(this.folder, `${name}.json`);
        writeFileSync(file, JSON.stringify(settings));
        const [command, ...args] = run.split(" ").map(word =>
            word.replace("{{Listen.Front}}", settings.Listen.Front).replace(/^9464$/, `${chosen.metrics}`)
        );
        const child = spawn(command === "node" ? process.execPath : command, args, {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, WAXWINGSPAR_SETTINGS: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const gateway = { name, host, child, ports: chosen, log: "", exit: undefined };
        for (const stream of [child.stdout, child.stderr]) {
            stream.on("data", data => {
                gateway.log += data;
            });
        }
        child.once("exit", (code, signal) => {
            gateway.exit = { code, signal };
        });
        this.gateways.push(gateway);
        if (wait) {
            await this.untilReady(gateway);
        }
        return gateway;
    }

    async untilReady(gateway, time = 20_000) {
        const end = performance.now() + time;
        while (await this.ready(gateway) !== 200) {
            if (performance.now() > end || gateway.exit !== undefined) {
                throw new Error(`${gateway.name} is not ready: ${gateway.log.slice(-2000)}`);
            }
            await pause(50);
        }
    }

    /** The status of a probe of the load balancer; 0 without an answer within a second. */
    async ready(gateway) {
        const reply = await this.call(gateway, { port: gateway.ports.ready, path: "/ready", timeout: 1_000 });
        return reply.status;
    }

    /** Makes one call on a new connection. Its result tells how it ended. */
    call(gateway, options) {
        const { port = gateway.ports.front, path, method = "GET", body, id, headers = {}, agent = false } = options;
        const { deadline = 1_500, timeout = deadline + 2_000 } = options;
        const sentAt = performance.now();
        const result = { id, path, status: 0, headers: {}, body: "", end: "none" };
        return new Promise(resolve => {
            const finish = end => {
                clearTimeout(timer);
                if (result.end === "none") {
                    result.end = end;
                    result.after = Math.round(performance.now() - sentAt);
                    resolve(result);
                }
                outgoing.destroy();
            };
            const outgoing = request({
                host: gateway.host, port, path, method, agent,
                headers: {
                    Host: hostname,
                    Authorization: `Bearer ${key}`,
                    ...(id === undefined ? {} : { "Waxwingspar-Request-Id": id }),
                    "Waxwingspar-Deadline-Ms": `${deadline}`,
                    ...headers,
                },
            });
            const timer = setTimeout(() => finish("no answer in time"), timeout);
            outgoing.on("error", error => finish(error.code ?? error.message));
            outgoing.once("response", response => {
                result.status = response.statusCode;
                result.headers = response.headers;
                response.on("data", chunk => {
                    result.body += chunk;
                });
                response.on("error", () => finish("broken off"));
                response.once("close", () => finish(response.complete ? "complete" : "broken off"));
                response.once("end", () => finish(response.complete ? "complete" : "broken off"));
            });
            outgoing.end(body);
        });
    }

    async stop() {
        for (const { child, exit } of this.gateways) {
            if (exit === undefined) {
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            }
        }
        await pause(100);
        this.replicas.forEach(replica => replica.stop());
        this.store.stop();
        rmSync(this.folder, { recursive: true, force: true });
    }
}

/** Milliseconds for which a case runs at most. */
const maxTime = 115_000;

/** Runs a case: exit 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase(recordFile, play) {
    const site = new Site(recordFile);
    const isTrouble = process.env.TROUBLE !== "0";
    const abort = reason => {
        site.record(`the case could not run: ${reason}`);
        site.gateways.forEach(({ child }) => child.kill("SIGKILL"));
        rmSync(site.folder, { recursive: true, force: true });
        process.exit(2);
    };
    const guard = setTimeout(() => abort("it took too long"), maxTime);
    // An error of the script itself says nothing of the rule, and must leave no process behind.
    process.once("uncaughtException", error => abort(error.stack));
    process.once("unhandledRejection", error => abort(error?.stack ?? error));
    ["SIGTERM", "SIGINT", "SIGHUP"].forEach(signal => process.once(signal, () => abort(signal)));
    let code = 2;
    try {
        await site.store.start();
        code = await play(site, isTrouble) ? 1 : 0;
        const verdict = code === 1 ? "the rule was broken" : "the rule held";
        site.record(`RESULT: ${verdict}`);
        process.stdout.write(`${verdict}; see record.txt\n`);
    }
    catch (error) {
        site.record(`the case could not run: ${error.stack}`);
    }
    await site.stop();
    clearTimeout(guard);
    process.exit(code);
}
