interface Node<T> {
    readonly key: string;
    readonly value: T;
    rank: number;
    readonly order: number;
}

/**
 * A binary min-heap by rank, whose members can be removed or given a new rank by key in logarithmic time. Members of
 * equal rank are returned in insertion order.
 *
 * @public
 */
export class IndexedHeap<T> {
    private readonly nodes: Node<T>[] = [];
    private readonly places = new Map<string, number>();
    private added = 0;

    get size(): number {
        return this.nodes.length;
    }

    has(key: string): boolean {
        return this.places.has(key);
    }

    /** Adds a member, or replaces the member of the same key. */
    set(key: string, rank: number, value: T): void {
        this.delete(key);
        this.nodes.push({ key, value, rank, order: this.added++ });
        this.places.set(key, this.nodes.length - 1);
        this.moveUp(this.nodes.length - 1);
    }

    peek(): T | undefined {
        return this.nodes[0]?.value;
    }

    /** Returns the lowest rank, or infinity when the heap is empty. */
    lowestRank(): number {
        return this.nodes[0]?.rank ?? Infinity;
    }

    pop(): T | undefined {
        const first = this.nodes[0];
        return first === undefined ? undefined : this.delete(first.key);
    }

    /** Returns a leaf of the heap in constant time: a member with a high rank, though not always the highest. */
    peekLeaf(): T | undefined {
        return this.nodes.at(-1)?.value;
    }

    /** Removes and returns the member of a key, or returns undefined when there is none. */
    delete(key: string): T | undefined {
        const place = this.places.get(key);
        if (place === undefined) {
            return undefined;
        }
        const removed = this.nodes[place]!;
        const last = this.nodes.pop()!;
        this.places.delete(key);
        if (last !== removed) {
            this.put(place, last);
            this.moveUp(place);
            this.moveDown(this.places.get(last.key)!);
        }
        return removed.value;
    }

    /** Iterates over all members, in no particular order. */
    *values(): IterableIterator<T> {
        for (const node of this.nodes) {
            yield node.value;
        }
    }

    private before(a: number, b: number): boolean {
        const left = this.nodes[a]!;
        const right = this.nodes[b]!;
        return left.rank < right.rank || (left.rank === right.rank && left.order < right.order);
    }

    private put(place: number, node: Node<T>): void {
        this.nodes[place] = node;
        this.places.set(node.key, place);
    }

    private swap(a: number, b: number): void {
        const first = this.nodes[a]!;
        this.put(a, this.nodes[b]!);
        this.put(b, first);
    }

    private moveUp(start: number): void {
        for (let place = start; place > 0;) {
            const parent = (place - 1) >> 1;
            if (!this.before(place, parent)) {
                return;
            }
            this.swap(place, parent);
            place = parent;
        }
    }

    private moveDown(start: number): void {
        for (let place = start;;) {
            const left = 2 * place + 1;
            const right = left + 1;
            let first = place;
            if (left < this.nodes.length && this.before(left, first)) {
                first = left;
            }
            if (right < this.nodes.length && this.before(right, first)) {
                first = right;
            }
            if (first === place) {
                return;
            }
            this.swap(place, first);
            place = first;
        }
    }
}
