import { readFile } from "node:fs/promises";
import { type PlatformFile, runPlatform } from "./lib/site/runPlatform.js";

const [file = ""] = process.argv.slice(2);
const stop = await runPlatform(JSON.parse(await readFile(file, "utf8")) as PlatformFile);
await new Promise<void>(resolve => process.once("SIGTERM", () => resolve()));
await stop();
