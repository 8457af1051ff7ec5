import { type Outcome } from "@waxwingspar/utils";
import { type Row, type TableStore, type Transaction } from "../TableStore.js";

/**
 * A stand-in for the table service as one process sees it: it learns of a new era only from an answer.
 *
 * @public
 */
export class AnsweredEra implements TableStore {
    private answered: number;

    constructor(private readonly table: TableStore) {
        this.answered = table.era;
    }

    get era(): number {
        return this.answered;
    }

    get(key: string): Promise<Outcome<Row>> {
        return this.learn(this.table.get(key));
    }

    scan(prefix: string, after: string, limit: number): Promise<Outcome<Row[]>> {
        return this.learn(this.table.scan(prefix, after, limit));
    }

    commit(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        return this.learn(this.table.commit(transaction));
    }

    findCommit(writeId: string): Promise<Outcome<Record<string, number> | undefined>> {
        return this.learn(this.table.findCommit(writeId));
    }

    private async learn<T>(call: Promise<T>): Promise<T> {
        const answer = await call;
        this.answered = this.table.era;
        return answer;
    }
}
