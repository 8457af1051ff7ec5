/**
 * Serves a fake engine with instantaneous batches over HTTP in a separate process, so that the benchmark measures only
 * the client side. It sends its port to the parent process and exits when the parent disconnects.
 */
import { SystemClock } from "@waxwingspar/utils";
import { EngineServer } from "../lib/EngineServer.js";
import { instantEngine } from "./instantEngine.js";

const server = new EngineServer({ engine: instantEngine(new SystemClock()) });
const port = await server.listen();
process.send?.(port);
process.once("disconnect", () => process.exit(0));
