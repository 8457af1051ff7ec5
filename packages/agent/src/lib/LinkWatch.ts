import { type Link } from "@waxwingspar/transport";

/**
 * Notifies attempts when a link closes. Close handlers of a link cannot be removed, so this class adds one handler per
 * link that serves all attempts, and lets each attempt remove its own watch.
 *
 * @internal
 */
export class LinkWatch {
    private readonly watchers = new Map<Link, Set<() => void>>();

    /** The open links that have been added or watched. */
    get links(): IterableIterator<Link> {
        return this.watchers.keys();
    }

    /** Adds a link. Adding it again has no effect. */
    add(link: Link): void {
        if (this.watchers.has(link) || !link.open) {
            return;
        }
        this.watchers.set(link, new Set());
        link.onClose(() => this.closed(link));
    }

    /**
     * Calls a handler once when the link closes. If it is already closed, the handler runs in a microtask.
     *
     * @returns A function that removes the watch.
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
        // Wrapped in a new function, so that the same handler may watch a link twice.
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
