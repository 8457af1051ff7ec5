#!/usr/bin/env node
import { Command } from "commander";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { formatDetails, tableHead, tableRow } from "./lib/report/formatResult.js";
import { holds, type ScenarioResult } from "./lib/report/ScenarioResult.js";
import { runScenario } from "./lib/runScenario.js";
import { findScenario, scenarios } from "./lib/scenarios/scenarios.js";

interface Options {
    readonly scenario: string;
    readonly seed: number;
    readonly seconds: number;
    readonly keep: boolean;
    readonly plants: boolean;
}

const defaultSeconds = 14;

const { scenario: name, seed, seconds, keep, plants } = new Command("proof")
    .description("Runs real processes under faults and checks their histories.")
    .option(
        "--scenario <name>",
        `comma-separated names out of ${scenarios.map(({ name }) => name).join(",")}, or all`,
        "all",
    )
    .option("--seed <number>", "seed of the victims, arrival times and prompts", Number, 1)
    .option(
        "--seconds <number>",
        "seconds for which callers send requests after the warm-up, at least",
        Number,
        defaultSeconds,
    )
    .option("--keep", "also keep settings, logs and histories of scenarios that hold", false)
    .option(
        "--plants",
        "check copies of the history with planted violations of each rule; each must be detected",
        false,
    )
    .parse()
    .opts<Options>();

const chosen = name === "all" ? scenarios : name.split(",").map(part => findScenario(part) ?? unknown(part));
const results: ScenarioResult[] = [];
let broken = 0;
for (const scenario of chosen) {
    const folder = await mkdtemp(join(tmpdir(), `waxwingspar-proof-${scenario.name}-`));
    process.stdout.write(`${scenario.name}: ${scenario.summary}\n`);
    try {
        const result = await runScenario({ scenario, seed, seconds, folder, plantsViolations: plants });
        process.stdout.write(`${formatDetails(result)}\n`);
        results.push(result);
        if (!keep && holds(result)) {
            await rm(folder, { recursive: true });
            continue;
        }
    }
    catch (error) {
        broken++;
        process.stdout.write(`  THE RUN ABORTED: ${error instanceof Error ? error.message : String(error)}\n`);
    }
    process.stdout.write(`  files: ${folder}\n`);
}
process.stdout.write(`\n${[tableHead(), ...results.map(tableRow)].join("\n")}\n`);
process.exitCode = broken === 0 && results.every(holds) ? 0 : 1;

function unknown(part: string): never {
    process.stderr.write(`unknown scenario: ${part}\n`);
    process.exit(2);
}
