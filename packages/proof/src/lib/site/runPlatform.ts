import { parseAllDesired, ResourceStore, RevisionState, StoreLog } from "@waxwingspar/config";
import { FileRecorder } from "@waxwingspar/history";
import {
    type LiveHost,
    MemoryLiveList,
    MemoryObjectStore,
    MemoryTableStore,
    MemoryWeightStore,
    PlatformServer,
} from "@waxwingspar/stores";
import { seededRandom, SystemClock, uniqueId } from "@waxwingspar/utils";

/** The settings file of the platform's process. @internal */
export interface PlatformSettings {
    readonly port: number;
    readonly hosts: readonly LiveHost[];
    readonly resources: readonly unknown[];
    readonly history: string;
}

/** Milliseconds by which the live list lags. */
const listLag = 2000;
const layerBytes = 1_000_000_000;
/** Bytes per second. */
const weightRate = 10_000_000_000;

/**
 * Serves the platform's stand-ins and records each write that takes effect in the table store, independently of the
 * processes that write.
 *
 * @returns A function that closes the server and the history.
 * @internal
 */
export async function runPlatform(settings: PlatformSettings): Promise<() => Promise<void>> {
    const clock = new SystemClock();
    const path = settings.history;
    const opened = await FileRecorder.open({ clock, path, process: "platform", incarnation: uniqueId() });
    if (opened.isErr) {
        throw new Error(opened.error.message);
    }
    const { record } = opened.value;
    const table = new MemoryTableStore({ clock, onEffect: writeId => record({ event: "write.effect", writeId }) });
    await createResources(settings.resources, table);
    const live = new MemoryLiveList({ clock });
    settings.hosts.forEach(host => live.set(host));
    live.lag = listLag;
    const server = new PlatformServer({
        table,
        objects: new MemoryObjectStore({ clock }),
        live,
        weights: new MemoryWeightStore({ clock, layerSize: () => layerBytes, rate: weightRate }),
    });
    await server.listen(settings.port);
    return async () => {
        await server.close();
        await opened.value.close();
    };
}

async function createResources(documents: readonly unknown[], table: MemoryTableStore): Promise<void> {
    const clock = new SystemClock();
    const log = new StoreLog(table);
    const store = new ResourceStore({ log, state: new RevisionState(), clock, random: seededRandom(1) });
    const desired = parseAllDesired(documents);
    const accepted = desired.isOk ? await store.apply(desired.value, { changeId: uniqueId() }) : desired;
    if (accepted.isErr) {
        throw new Error(JSON.stringify(accepted.error));
    }
}
