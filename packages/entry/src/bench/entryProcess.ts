/**
 * The entry of the bench, in a process of its own, so that its processor time is the entry's alone. It uses the real
 * router and real links.
 */
import { resource, specSchemas, StaticConfiguration } from "@waxwingspar/config";
import { TcpLinkPool } from "@waxwingspar/transport";
import { startBenchEntry } from "./startBenchEntry.js";

/** What the bench tells this process at its start: the ports of the heads. */
export interface EntryProcessOptions {
    readonly heads: readonly number[];
}

/** What this process answers: first its port, then its usage each time it is asked. */
export interface EntryProcessAnswer {
    readonly port: number;
    /** Processor time so far, in microseconds. */
    readonly user: number;
    readonly system: number;
    /** Bytes of memory. */
    readonly memory: number;
}

const layers = 12;

function createConfiguration(ports: readonly number[]): StaticConfiguration {
    const configuration = new StaticConfiguration();
    const held = { model: "demo", version: "1", first: 0, last: layers - 1 };
    configuration.set([
        resource("organisation", "bench", specSchemas.organisation.parse({})),
        resource("model", "demo", specSchemas.model.parse({ layers, versions: ["1"], current: "1" })),
        ...ports.map((port, index) =>
            resource(
                "target",
                `head-${index}`,
                specSchemas.target.parse({ host: "127.0.0.1", port, dataCentre: "dc1", slots: 512, holds: [held] }),
            )
        ),
    ]);
    return configuration;
}

function start({ heads }: EntryProcessOptions): Promise<number> {
    const hello = { type: "hello", protocol: 1, process: "entry", role: "entry", dataCentre: "dc1" } as const;
    return startBenchEntry({
        links: new TcpLinkPool({ hello: { ...hello, incarnation: "bench" }, credentials: { insecure: true } }),
        configuration: createConfiguration(heads),
        dataCentre: "dc1",
    });
}

process.once("message", (options: EntryProcessOptions) => {
    void start(options).then(port => {
        function answer(): void {
            const { user, system } = process.cpuUsage();
            process.send?.({ port, user, system, memory: process.memoryUsage().rss } satisfies EntryProcessAnswer);
        }
        process.on("message", message => message === "stop" ? process.exit() : answer());
        answer();
    });
});
