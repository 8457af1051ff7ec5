import { type TableStore, type Transaction } from "@waxwingspar/stores";
import { failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import {
    readRecoveryMarker,
    type RecoveryMarker,
    recoveryMarkerCondition,
    recoveryMarkerWrites,
} from "./Settlement.js";

/**
 * The era of the store in which the rows of a series were read, and how far the series was settled then. Its commits take effect only
 * while no other process has settled the series since.
 *
 * @internal
 */
export class RecoveredEra {
    private readEra: number;
    private marker: RecoveryMarker | undefined;

    /** @param prefix - Of the rows of the series' settlement. */
    constructor(private readonly table: TableStore, private readonly prefix: string) {
        this.readEra = table.era;
    }

    /** The era in which the rows were read. */
    get era(): number {
        return this.readEra;
    }

    /** Whether the store is still in that era, for all that is known. */
    get isCurrent(): boolean {
        return this.table.era === this.readEra;
    }

    /** Whether no claim was missing in that era, and every claim that was read had been granted. */
    get wasRecovered(): boolean {
        return this.readEra === (this.marker?.era ?? 0);
    }

    /** Goes on to the newest era. What was read before may differ from what the store holds at the same numbers and versions. */
    advance(): void {
        this.readEra = this.table.era;
    }

    /** Reads the settlement. It counts only if the era has not changed when the rows have been read, too. */
    read(): Promise<Outcome<RecoveryMarker | undefined>> {
        return this.readEra === 0
            ? Promise.resolve(Result.ok<RecoveryMarker | undefined, never>(undefined))
            : readRecoveryMarker(this.table, this.prefix);
    }

    /** Takes over the settlement that was read with the rows. */
    use(marker: RecoveryMarker | undefined): void {
        this.marker = marker;
    }

    /** Commits in this era; an answer of another era proves nothing about this one. */
    async commit(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        const conditions = [...transaction.conditions, recoveryMarkerCondition(this.prefix, this.marker)];
        const outcome = await this.table.commit({ ...transaction, conditions });
        return this.isCurrent
            ? outcome
            : Result.err(failure(platformCodes.storeUnknown, "the store came back from a copy meanwhile"));
    }

    /** Commits, and notes that all that was lost is there again. */
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
