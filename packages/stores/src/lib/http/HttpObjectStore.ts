import { type Outcome } from "@waxwingspar/utils";
import { type ObjectStore } from "../ObjectStore.js";
import { type PlatformConnection } from "./PlatformConnection.js";

/**
 * The object store over HTTP.
 *
 * @public
 */
export class HttpObjectStore implements ObjectStore {
    constructor(private readonly connection: PlatformConnection) {}

    put(name: string, data: Uint8Array): Promise<Outcome<void>> {
        return this.connection.call("/objects/put", { name, data: Buffer.from(data).toString("base64") });
    }

    async get(name: string): Promise<Outcome<Uint8Array | undefined>> {
        const outcome = await this.connection.call("/objects/get", { name });
        return outcome.map(data => data === undefined ? undefined : new Uint8Array(Buffer.from(data, "base64")));
    }

    list(prefix: string): Promise<Outcome<string[]>> {
        return this.connection.call("/objects/list", { prefix });
    }

    delete(name: string): Promise<Outcome<void>> {
        return this.connection.call("/objects/delete", { name });
    }
}
