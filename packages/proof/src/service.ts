import { FileRecorder } from "@waxwingspar/history";
import { SystemClock, uniqueId } from "@waxwingspar/utils";
import { readFile } from "node:fs/promises";
import { ServiceStandIn } from "./lib/site/ServiceStandIn.js";

const [file = ""] = process.argv.slice(2);
const { name, host, port, history } = JSON.parse(await readFile(file, "utf8")) as {
    name: string;
    host: string;
    port: number;
    history: string;
};
const recorder = await FileRecorder.open({
    clock: new SystemClock(),
    path: history,
    process: name,
    incarnation: uniqueId(),
});
if (recorder.isErr) {
    throw new Error(recorder.error.message);
}
const service = new ServiceStandIn(recorder.value.record);
await service.listen(host, port);
await new Promise<void>(resolve => process.once("SIGTERM", () => resolve()));
await service.close();
await recorder.value.close();
