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
}

const defaultSeconds = 14;

const { scenario: name, seed, seconds, keep } = new Command("proof")
    .description("Runs real processes under faults and checks their histories.")
    .option("--scenario <name>", `one of ${scenarios.map(({ name }) => name).join(", ")}, or all`, "all")
    .option("--seed <number>", "chooses victims, arrivals and prompts", Number, 1)
    .option("--seconds <number>", "seconds for which callers send after the first fault", Number, defaultSeconds)
    .option("--keep", "keep settings, logs and histories", false)
    .parse()
    .opts<Options>();

const chosen = name === "all" ? scenarios : [findScenario(name)].filter(found => found !== undefined);
if (chosen.length === 0) {
    process.stderr.write(`no scenario ${name}\n`);
    process.exit(2);
}
const results: ScenarioResult[] = [];
for (const scenario of chosen) {
    const folder = await mkdtemp(join(tmpdir(), `waxwingspar-proof-${scenario.name}-`));
    process.stdout.write(`${scenario.name}: ${scenario.summary}\n`);
    const result = await runScenario({ scenario, seed, seconds, folder });
    process.stdout.write(`${formatDetails(result)}\n`);
    results.push(result);
    if (keep || !holds(result)) {
        process.stdout.write(`  files: ${folder}\n`);
    }
    else {
        await rm(folder, { recursive: true });
    }
}
process.stdout.write(`\n${[tableHead(), ...results.map(tableRow)].join("\n")}\n`);
process.exitCode = results.every(holds) ? 0 : 1;
