import { type TableStore, type Transaction } from "@waxwingspar/stores";
import { failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { conditionOf, readSettlement, type Settlement, settlementWrites } from "./Settlement.js";

/**
 * The era of the store in which the rows of a series were read, and how far the series was settled then. Its commits take effect only
 * while no other process has settled the series since.
 *
 * @internal
 */
export class SettledEra {
    private readEra: number;
    private settlement: Settlement | undefined;

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
    get wasSettled(): boolean {
        return this.readEra === (this.settlement?.era ?? 0);
    }

    /** Goes on to the newest era. What was read before may differ from what the store holds at the same numbers and versions. */
    follow(): void {
        this.readEra = this.table.era;
    }

    /** Reads the settlement. It counts only if the era has not changed when the rows have been read, too. */
    read(): Promise<Outcome<Settlement | undefined>> {
        return this.readEra === 0
            ? Promise.resolve(Result.ok<Settlement | undefined, never>(undefined))
            : readSettlement(this.table, this.prefix);
    }

    /** Takes over the settlement that was read with the rows. */
    use(settlement: Settlement | undefined): void {
        this.settlement = settlement;
    }

    /** Commits in this era; an answer of another era proves nothing about this one. */
    async commit(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        const conditions = [...transaction.conditions, conditionOf(this.prefix, this.settlement)];
        const outcome = await this.table.commit({ ...transaction, conditions });
        return this.isCurrent
            ? outcome
            : Result.err(failure(platformCodes.storeUnknown, "the store came back from a copy meanwhile"));
    }

    /** Commits, and notes that all that was lost is there again. */
    async settle(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        const writes = [...transaction.writes, ...settlementWrites(this.prefix, this.settlement, this.readEra)];
        const outcome = await this.commit({ ...transaction, writes });
        if (outcome.isOk) {
            const read = await this.read();
            this.settlement = this.isCurrent ? read.unwrapOr(this.settlement) : this.settlement;
        }
        return outcome;
    }
}
