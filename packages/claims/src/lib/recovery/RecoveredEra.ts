import { type TableStore, type Transaction } from "@waxwingspar/stores";
import { failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import {
    readRecoveryMarker,
    type RecoveryMarker,
    recoveryMarkerCondition,
    recoveryMarkerWrites,
} from "./RecoveryMarker.js";

/**
 * The era of the store in which the rows of a series were read, with the recovery marker read at that time. Commits
 * take effect only if no other process has recovered the series since.
 *
 * @internal
 */
export class RecoveredEra {
    private readEra: number;
    private marker: RecoveryMarker | undefined;

    /** @param prefix - The key prefix of the series' recovery markers. */
    constructor(private readonly table: TableStore, private readonly prefix: string) {
        this.readEra = table.era;
    }

    /** The era in which the rows were read. */
    get era(): number {
        return this.readEra;
    }

    /** Whether the store is still in that era, as far as this process knows. */
    get isCurrent(): boolean {
        return this.table.era === this.readEra;
    }

    /** Whether the lost claims had been recovered in that era, so that every claim that was read had been granted. */
    get wasRecovered(): boolean {
        return this.readEra === (this.marker?.era ?? 0);
    }

    /**
     * Switches to the current era. Rows read before may differ from those that the store now has under the same segment
     * numbers and versions.
     */
    advance(): void {
        this.readEra = this.table.era;
    }

    /** Reads the recovery marker. It is valid only if the era has not changed by the time the rows have been read. */
    read(): Promise<Outcome<RecoveryMarker | undefined>> {
        return this.readEra === 0
            ? Promise.resolve(Result.ok<RecoveryMarker | undefined, never>(undefined))
            : readRecoveryMarker(this.table, this.prefix);
    }

    /** Sets the recovery marker that was read with the rows. */
    use(marker: RecoveryMarker | undefined): void {
        this.marker = marker;
    }

    /** Commits in this era. A response from another era does not show whether the commit took effect in this one. */
    async commit(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        const conditions = [...transaction.conditions, recoveryMarkerCondition(this.prefix, this.marker)];
        const outcome = await this.table.commit({ ...transaction, conditions });
        return this.isCurrent
            ? outcome
            : Result.err(failure(platformCodes.storeUnknown, "the store was restored from a copy during the call"));
    }

    /** Commits, and marks the lost claims of the series as recovered. */
    async commitRecovery(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        const writes = [...transaction.writes, ...recoveryMarkerWrites(this.prefix, this.marker, this.readEra)];
        const outcome = await this.commit({ ...transaction, writes });
        if (outcome.isOk) {
            const read = await this.read();
            this.marker = this.isCurrent ? read.unwrapOr(this.marker) : this.marker;
        }
        return outcome;
    }
}
