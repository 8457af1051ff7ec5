import { readFile } from "node:fs/promises";
import { type HolderSettings, runHolder } from "./lib/holder/runHolder.js";

const [file = ""] = process.argv.slice(2);
const stop = await runHolder(JSON.parse(await readFile(file, "utf8")) as HolderSettings);
await new Promise<void>(resolve => process.once("SIGTERM", () => resolve()));
await stop();
