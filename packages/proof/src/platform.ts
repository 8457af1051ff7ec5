import { readFile } from "node:fs/promises";
import { type PlatformSettings, runPlatform } from "./lib/site/runPlatform.js";

const [file = ""] = process.argv.slice(2);
const stop = await runPlatform(JSON.parse(await readFile(file, "utf8")) as PlatformSettings);
await new Promise<void>(resolve => process.once("SIGTERM", () => resolve()));
await stop();
