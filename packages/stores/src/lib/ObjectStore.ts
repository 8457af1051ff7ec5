import { type Outcome } from "@waxwingspar/utils";

/**
 * The platform's object store. A put replaces the whole object.
 *
 * @public
 */
export interface ObjectStore {
    put(name: string, data: Uint8Array): Promise<Outcome<void>>;
    /** @returns The object, or undefined if there is none. */
    get(name: string): Promise<Outcome<Uint8Array | undefined>>;
    list(prefix: string): Promise<Outcome<string[]>>;
    delete(name: string): Promise<Outcome<void>>;
}
