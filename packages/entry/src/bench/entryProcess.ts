/**
 * The entry of the benchmark, in a separate process so that its CPU time can be measured alone. It uses the real router
 * and real links.
 */
import { resource, specSchemas, StaticConfiguration } from "@waxwingspar/config";
import { TcpLinkPool } from "@waxwingspar/transport";
import { startBenchEntry } from "./startBenchEntry.js";

/** The message that starts this process: the ports of the heads. */
export interface EntryProcessOptions {
    readonly heads: readonly number[];
}

/** The messages of this process: one when it has started, and one for each query of its usage. */
export interface EntryProcessAnswer {
    readonly port: number;
    /** CPU time so far, in microseconds. */
    readonly user: number;
    readonly system: number;
    /** Resident set size in bytes. */
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
