/**
 * A fake engine whose batches take no time, behind HTTP in a process of its own, so that the benchmark sees only the
 * adapter's side. It tells its port to its parent and ends with it.
 */
import { SystemClock } from "@waxwingspar/utils";
import { EngineServer } from "../lib/EngineServer.js";
import { instantEngine } from "./instantEngine.js";

const server = new EngineServer({ engine: instantEngine(new SystemClock()) });
const port = await server.listen();
process.send?.(port);
process.once("disconnect", () => process.exit(0));
