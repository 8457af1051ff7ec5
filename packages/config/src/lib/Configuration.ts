import { type Kind, type Resource } from "./resources/Resource.js";

/**
 * The configuration that is in force in this process. Its revision never decreases.
 *
 * @public
 */
export interface Configuration {
    /** The revision in force; 0 until the first revision is applied. */
    readonly revision: number;
    get<K extends Kind>(kind: K, name: string): Resource<K> | undefined;
    list<K extends Kind>(kind: K): readonly Resource<K>[];
    /** Adds a handler that runs after each change to a higher revision. Returns a function that removes the handler. */
    onChange(handler: (revision: number) => void): () => void;
}
