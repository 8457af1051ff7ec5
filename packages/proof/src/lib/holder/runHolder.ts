import { DutyRunner } from "@waxwingspar/control";
import { FileRecorder } from "@waxwingspar/history";
import { HttpTableStore, PlatformConnection, StoreClient } from "@waxwingspar/stores";
import { protocolVersion, TcpLinkPool } from "@waxwingspar/transport";
import { seededRandom, SystemClock, uniqueId } from "@waxwingspar/utils";
import { StaleLeaseDuty, type TargetAddress } from "./StaleLeaseDuty.js";

/** The settings of a holder's process. @internal */
export interface HolderSettings {
    readonly name: string;
    readonly dataCentre: string;
    /** The names of all holders of the data centre. */
    readonly holders: readonly string[];
    readonly targets: readonly TargetAddress[];
    readonly platform: string;
    readonly history: string;
}

/** The line that a holder writes for each order that was refused because of its fence. @internal */
export const staleFenceLine = "an order was refused: stale fence";

const duration = 3000;
const interval = 50;
const readsPerSecond = 20;
const writesPerSecond = 10;

/**
 * Runs a process that competes for the orders of a data centre.
 *
 * @returns Gives the duty up and ends.
 * @internal
 */
export async function runHolder(settings: HolderSettings): Promise<() => Promise<void>> {
    const { name, dataCentre, holders, targets } = settings;
    const clock = new SystemClock();
    const random = seededRandom(1);
    const incarnation = uniqueId();
    const opened = await FileRecorder.open({ clock, path: settings.history, process: name, incarnation });
    if (opened.isErr) {
        throw new Error(opened.error.message);
    }
    const { record } = opened.value;
    const connection = new PlatformConnection({ origin: settings.platform });
    const table = new HttpTableStore(connection);
    const store = new StoreClient({ store: table, clock, random, readsPerSecond, writesPerSecond });
    const hello = {
        type: "hello",
        protocol: protocolVersion,
        process: name,
        role: "entry",
        incarnation,
        dataCentre,
    } as const;
    const onStaleFence = () => void process.stdout.write(`${staleFenceLine}\n`);
    const pool = new TcpLinkPool({ hello, credentials: { insecure: true }, clock, random });
    const runner = new DutyRunner({
        store,
        clock,
        random,
        process: name,
        incarnation,
        duties: [new StaleLeaseDuty({ dataCentre, targets, pool, record, onStaleFence })],
        members: () => holders.map(holder => ({ process: holder, dataCentre, leaving: false })),
        duration,
        interval,
    });
    runner.start();
    return async () => {
        await runner.stop();
        pool.close();
        await connection.close();
        await opened.value.close();
    };
}
