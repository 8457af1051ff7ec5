import { type Clock, sleep } from "@waxwingspar/utils";
import { type Store } from "../store/Store.js";

/** Options of {@link TrialLease}. */
export interface TrialLeaseOptions {
    readonly clock: Clock;
    readonly store: Store;
    readonly table: string;
}

/** The result of {@link TrialLease.acquire}. */
export type TrialLeaseResult = "held" | "busy" | "unavailable";

const key = "trial";
/** Milliseconds after which a lease that has not been released counts as abandoned. */
const maxHold = 3_000;
const pollInterval = 250;
/** Longest milliseconds to wait for the lease; the request that needs it has waited for its turn before. */
const acquireTimeout = 1_000;

/**
 * A lease in the store under which one gateway at a time runs a suspect, so that a suspect is not blamed for a crash that
 * another one caused on the same target. No clock of another process is involved: a lease is abandoned if its row stays
 * the same for as long as this process watches it.
 */
export class TrialLease {
    /** The row of another holder, and the time on the clock at which it was first seen. */
    private other: { readonly version: number; readonly seenAt: number; } | undefined;
    private heldVersion: number | undefined;
    private releasing: Promise<unknown> = Promise.resolve();

    constructor(private readonly options: TrialLeaseOptions) {}

    async acquire(): Promise<TrialLeaseResult> {
        const { clock, store, table } = this.options;
        await this.releasing;
        const end = clock.now() + acquireTimeout;
        let expectedVersion = this.abandonedVersion;
        while (true) {
            const value = { takenAt: clock.date().getTime() };
            const result = await store.write({ table, key, value, expectedVersion });
            if (result.kind === "written") {
                this.heldVersion = result.version;
                this.other = undefined;
                return "held";
            }
            if (result.kind !== "conflict") {
                return "unavailable";
            }
            this.noteOther(result.rows[0]?.version ?? 0);
            if (this.other !== undefined && this.abandonedVersion === 0) {
                if (clock.now() + pollInterval > end) {
                    return "busy";
                }
                await sleep(clock, pollInterval);
            }
            expectedVersion = this.abandonedVersion;
        }
    }

    /** Releases the lease, if it is held. The row of a holder that cannot be reached is left to be abandoned. */
    release(): void {
        const { store, table } = this.options;
        const expectedVersion = this.heldVersion;
        if (expectedVersion !== undefined) {
            this.heldVersion = undefined;
            this.releasing = store.write({ table, key, value: undefined, expectedVersion });
        }
    }

    /** The version of the row to replace: 0 for none, since an abandoned lease is replaced only after a while. */
    private get abandonedVersion(): number {
        const { other } = this;
        const isAbandoned = other !== undefined && this.options.clock.now() - other.seenAt >= maxHold;
        return isAbandoned ? other.version : 0;
    }

    private noteOther(version: number): void {
        if (version === 0) {
            this.other = undefined;
        }
        else if (this.other?.version !== version) {
            this.other = { version, seenAt: this.options.clock.now() };
        }
    }
}
