import { type Outcome } from "@waxwingspar/utils";
import { type Row, type TableStore, type Transaction } from "../TableStore.js";
import { type PlatformConnection } from "./PlatformConnection.js";

/**
 * The table service over HTTP.
 *
 * @public
 */
export class HttpTableStore implements TableStore {
    constructor(private readonly connection: PlatformConnection) {}

    get era(): number {
        return this.connection.tableEra;
    }

    get(key: string): Promise<Outcome<Row>> {
        return this.connection.call("/table/get", { key });
    }

    scan(prefix: string, after: string, limit: number): Promise<Outcome<Row[]>> {
        return this.connection.call("/table/scan", { prefix, after, limit });
    }

    commit(transaction: Transaction): Promise<Outcome<Record<string, number>>> {
        return this.connection.call("/table/commit", transaction);
    }

    findCommit(writeId: string): Promise<Outcome<Record<string, number> | undefined>> {
        return this.connection.call("/table/find-commit", { writeId });
    }
}
