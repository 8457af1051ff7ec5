import { type Outcome } from "@waxwingspar/utils";
import { type Row, type TableStore, type Transaction } from "../TableStore.js";

/**
 * Wraps a table store for tests, and updates the era only when a call returns. A process that calls the table service
 * over HTTP sees the era in the same way.
 *
 * @public
 */
export class CachedEraStore implements TableStore {
    private answered: number;

    constructor(private readonly table: TableStore) {
        this.answered = table.era;
    }

    get era(): number {
        return this.answered;
    }

    get(key: string): Promise<Outcome<Row>> {
        return this.withEraUpdate(this.table.get(key));
    }

    scan(prefix: string, after: string, limit: number): Promise<Outcome<Row[]>> {
        return this.withEraUpdate(this.table.scan(prefix, after, limit));
    }

    commit(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        return this.withEraUpdate(this.table.commit(transaction));
    }

    findCommit(writeId: string): Promise<Outcome<Record<string, number> | undefined>> {
        return this.withEraUpdate(this.table.findCommit(writeId));
    }

    private async withEraUpdate<T>(call: Promise<T>): Promise<T> {
        const answer = await call;
        this.answered = this.table.era;
        return answer;
    }
}
