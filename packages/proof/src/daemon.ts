import { readFile } from "node:fs/promises";
import { runAgent } from "./lib/daemon/runAgent.js";
import { runEntry } from "./lib/daemon/runEntry.js";
import { type AgentFile, type EntryFile } from "./lib/daemon/settings.js";

const [file = ""] = process.argv.slice(2);
const settings = JSON.parse(await readFile(file, "utf8")) as AgentFile | EntryFile;
const terminated = new Promise<void>(resolve => process.once("SIGTERM", () => resolve()));
const stop = settings.role === "agent" ? await runAgent(settings) : await runEntry(settings);
await terminated;
process.exit(await stop() === 0 ? 0 : 1);
