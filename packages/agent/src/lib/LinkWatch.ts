import { type Link } from "@waxwingspar/transport";

/**
 * Tells attempts that a link has closed. A link takes close handlers for good, so that each attempt must not add its
 * own; here one handler serves all attempts of a link, and an attempt can take itself out.
 *
 * @internal
 */
export class LinkWatch {
    private readonly watchers = new Map<Link, Set<() => void>>();

    /** Every open link that is watched or was added. */
    get links(): IterableIterator<Link> {
        return this.watchers.keys();
    }

    /** Starts to follow a link. Adding it again does nothing. */
    add(link: Link): void {
        if (this.watchers.has(link) || !link.open) {
            return;
        }
        this.watchers.set(link, new Set());
        link.onClose(() => this.closed(link));
    }

    /**
     * Runs a function once when the link has closed; later in this turn if it already has.
     *
     * @returns A function that ends the watch.
     */
    watch(link: Link, handler: () => void): () => void {
        if (!link.open) {
            let active = true;
            queueMicrotask(() => active && handler());
            return () => {
                active = false;
            };
        }
        this.add(link);
        // A new function each time, so that one handler may watch the same link twice.
        const entry = (): void => handler();
        this.watchers.get(link)?.add(entry);
        return () => void this.watchers.get(link)?.delete(entry);
    }

    private closed(link: Link): void {
        const handlers = this.watchers.get(link);
        this.watchers.delete(link);
        handlers?.forEach(handler => handler());
    }
}
