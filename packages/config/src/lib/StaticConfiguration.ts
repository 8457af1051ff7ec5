import { type Configuration } from "./Configuration.js";
import { type Kind, type Resource, type Specs } from "./resources/Resource.js";

/**
 * A configuration that the caller sets directly, for tests and embedded sites without a store.
 *
 * @public
 */
export class StaticConfiguration implements Configuration {
    private current = 0;
    private resources: readonly Resource[] = [];
    private readonly handlers = new Set<(revision: number) => void>();

    get revision(): number {
        return this.current;
    }

    get<K extends Kind>(kind: K, name: string): Resource<K> | undefined {
        return this.list(kind).find(resource => resource.name === name);
    }

    list<K extends Kind>(kind: K): readonly Resource<K>[] {
        return this.resources.filter((resource): resource is Resource<K> => resource.kind === kind);
    }

    onChange(handler: (revision: number) => void): () => void {
        this.handlers.add(handler);
        return () => void this.handlers.delete(handler);
    }

    /** Replaces all resources, increments the revision and runs the change handlers. */
    set(resources: readonly Resource[]): void {
        this.resources = resources;
        this.current++;
        this.handlers.forEach(handler => handler(this.current));
    }
}

/**
 * Creates a resource from its parts.
 *
 * @public
 */
export function resource<K extends Kind>(kind: K, name: string, spec: Specs[K], resourceVersion = 1): Resource<K> {
    return { kind, name, spec, resourceVersion };
}
