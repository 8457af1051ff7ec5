import { type Clock } from "@waxwingspar/utils";
import { type Observation } from "../observation/Observation.js";
import { type ConditionalWrite, type ReadOptions, type Store, type StoreAnswer, type WriteResult } from "./Store.js";

/** Options of {@link ObservedStore}. */
export interface ObservedStoreOptions {
    readonly store: Store;
    readonly clock: Clock;
    readonly observation: Observation;
}

/** Milliseconds between two log lines on failed calls for one table. */
const failureLogInterval = 1_000;

type Result = StoreAnswer & { readonly kind: string; readonly reason?: string; };

/** Wraps a store, and counts and logs how its calls end. */
export class ObservedStore implements Store {
    private readonly nextFailureLog = new Map<string, number>();
    /** Failures since the last log line, by table. */
    private readonly unloggedFailures = new Map<string, number>();

    constructor(private readonly options: ObservedStoreOptions) {}

    async read(table: string, options?: ReadOptions): ReturnType<Store["read"]> {
        return this.record(table, "read", await this.options.store.read(table, options));
    }

    async watch(table: string, after: number, wait: number, options?: ReadOptions): ReturnType<Store["watch"]> {
        return this.record(table, "watch", await this.options.store.watch(table, after, wait, options));
    }

    async write(write: ConditionalWrite): Promise<WriteResult> {
        return this.record(write.table, "write", await this.options.store.write(write));
    }

    private record<T extends Result>(table: string, call: string, result: T): T {
        const { metrics } = this.options.observation;
        const { kind, progress } = result;
        metrics.storeCalls.add({ table, call, result: kind });
        const isFailure = kind === "unknown" || kind === "unavailable";
        const isUsed = !isFailure && kind !== "historyTooLong";
        if (progress !== undefined) {
            metrics.storeBytes.add({ table, outcome: isUsed ? "used" : "given up" }, progress.bytes);
            if (progress.headAfter !== undefined) {
                metrics.storeReplyTime.record(progress.duration - progress.headAfter, { table });
            }
        }
        if (isFailure) {
            this.logFailure(table, call, result);
        }
        return result;
    }

    private logFailure(table: string, call: string, { reason, progress }: Result): void {
        const { clock, observation } = this.options;
        const failures = (this.unloggedFailures.get(table) ?? 0) + 1;
        if (clock.now() < (this.nextFailureLog.get(table) ?? -Infinity)) {
            this.unloggedFailures.set(table, failures);
            return;
        }
        this.unloggedFailures.delete(table);
        this.nextFailureLog.set(table, clock.now() + failureLogInterval);
        observation.logs.process.info({
            table,
            call,
            reason,
            failures,
            bytes: progress?.bytes,
            headAfter: progress?.headAfter === undefined ? undefined : Math.round(progress.headAfter),
            duration: progress === undefined ? undefined : Math.round(progress.duration),
        }, "store call failed");
    }
}
