import { type Kind, type Resource } from "./resources/Resource.js";

/**
 * The configuration that is in force in this process. It only moves to higher revisions.
 *
 * @public
 */
export interface Configuration {
    /** The revision in force; 0 before the first. */
    readonly revision: number;
    get<K extends Kind>(kind: K, name: string): Resource<K> | undefined;
    list<K extends Kind>(kind: K): readonly Resource<K>[];
    /** Adds a function that runs after each move to a higher revision. Returns the function that removes it. */
    onChange(handler: (revision: number) => void): () => void;
}
