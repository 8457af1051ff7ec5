import { DutyRunner } from "@waxwingspar/control";
import { FileRecorder } from "@waxwingspar/history";
import { HttpTableStore, PlatformConnection, StoreClient } from "@waxwingspar/stores";
import { protocolVersion, TcpLinkPool } from "@waxwingspar/transport";
import { seededRandom, SystemClock, uniqueId } from "@waxwingspar/utils";
import { StaleLeaseDuty, type TargetAddress } from "./StaleLeaseDuty.js";

/** The settings file of a process that competes for a control duty. @internal */
export interface HolderSettings {
    readonly name: string;
    readonly dataCentre: string;
    /** The names of all competing processes of the data centre. */
    readonly holders: readonly string[];
    readonly targets: readonly TargetAddress[];
    readonly platform: string;
    readonly history: string;
}

/** The line that a holder writes to standard output for each order rejected for a stale fencing token. @internal */
export const staleFenceLine = "an order was refused: stale fence";

/** Lease duration in milliseconds. */
const duration = 3000;
/** Milliseconds between two ticks of the duty. */
const interval = 50;
const readsPerSecond = 20;
const writesPerSecond = 10;

/**
 * Runs a process that competes for the lease of the orders duty of a data centre.
 *
 * @returns A function that releases the duty and closes everything.
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
