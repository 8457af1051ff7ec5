#!/usr/bin/env node
import { Command } from "commander";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runSoak, type SoakResult } from "./lib/runSoak.js";

/** Milliseconds within which the driver ends after the last seed. */
const exitTime = 10_000;

interface Options {
    readonly seed: number;
    readonly seeds: number;
    readonly gateways: number;
    readonly seconds: number;
    readonly report?: string;
    readonly command?: string;
}

const { seed: first, seeds, gateways, seconds, report, command } = new Command("soak")
    .description("Runs real gateways under overlapping faults and checks what callers and targets see.")
    .option("--seed <number>", "the first seed", Number, 1)
    .option("--seeds <number>", "number of seeds, one after the other", Number, 1)
    .option("--gateways <number>", "number of gateway processes", Number, 4)
    .option("--seconds <number>", "seconds under load for each seed", Number, 30)
    .option("--report <file>", "write all results to this file as JSON")
    .option("--command <file>", "the gateway program to start, such as packages/cli/dist/bin.js of another version")
    .parse()
    .opts<Options>();

const results: SoakResult[] = [];
for (let seed = first; seed < first + seeds; seed++) {
    const folder = await mkdtemp(join(tmpdir(), `waxwingspar-soak-${seed}-`));
    const result = await runSoak({ seed, gateways, seconds, folder, command });
    results.push(result);
    const { calls, served, refused, acrossStops, violations, events, longestStall } = result;
    process.stdout.write(
        `seed ${seed}: ${calls} requests, ${served} served, ${refused} refused, ${acrossStops} across stops, ${events.length} disturbances, `
            + `driver stalled ${longestStall} ms, ${violations.length} violations\n`,
    );
    violations.forEach(({ check, detail }) => process.stdout.write(`    ${check}: ${detail}\n`));
    if (violations.length === 0) {
        await rm(folder, { recursive: true });
    }
    else {
        events.forEach(event => process.stdout.write(`    ${event}\n`));
        process.stdout.write(`    logs: ${folder}\n`);
    }
}
if (report !== undefined) {
    await writeFile(report, `${JSON.stringify(results, undefined, 4)}\n`);
}
process.exitCode = results.some(({ violations }) => violations.length > 0) ? 1 : 0;
setTimeout(() => {
    process.stderr.write(`the driver does not end: ${process.getActiveResourcesInfo().join(", ")}\n`);
}, exitTime).unref();
