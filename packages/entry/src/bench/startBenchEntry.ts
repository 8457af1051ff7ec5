import { type StaticConfiguration } from "@waxwingspar/config";
import { createRetryBudgets, createRouter } from "@waxwingspar/policy";
import { type TcpLinkPool } from "@waxwingspar/transport";
import { seededRandom, SystemClock } from "@waxwingspar/utils";
import { pino } from "pino";
import { Entry } from "../lib/Entry.js";
import { FakeClaims } from "../lib/testing/FakeClaims.js";

/** Options of {@link startBenchEntry}. */
export interface BenchEntryOptions {
    readonly links: TcpLinkPool;
    readonly configuration: StaticConfiguration;
    readonly dataCentre: string;
}

/**
 * Starts the entry of a benchmark with the real router and no logs. Its callers need no credential.
 *
 * @returns The port that it listens on for callers.
 * @throws Error if it cannot listen.
 */
export async function startBenchEntry({ links, configuration, dataCentre }: BenchEntryOptions): Promise<number> {
    const clock = new SystemClock();
    const random = seededRandom(1);
    const entry = new Entry({
        listen: { host: "127.0.0.1", port: 0 },
        links,
        configuration,
        router: createRouter({ clock, random, entry: "entry", dataCentre, region: "local" }),
        retryBudgets: createRetryBudgets({ clock, random }),
        claims: new FakeClaims(),
        clock,
        logger: pino({ level: "silent" }),
        anonymousOrganisation: "bench",
    });
    const address = await entry.start();
    if (address.isErr) {
        throw new Error(address.error.message);
    }
    return address.value.port;
}
