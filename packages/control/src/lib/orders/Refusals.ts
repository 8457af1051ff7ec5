import { type Order } from "@waxwingspar/engine";
import { type Clock } from "@waxwingspar/utils";

/** A model version that a target has refused to load. @internal */
export interface RefusedVersion {
    readonly model: string;
    readonly version: string;
}

interface Entry extends RefusedVersion {
    count: number;
    latest: number;
}

const enough = 5;
const memoryTime = 300_000;

/**
 * Remembers which loads targets have refused, such as for lack of memory, so that the version is placed elsewhere for a
 * while.
 *
 * @internal
 */
export class Refusals {
    private readonly entries = new Map<string, Map<string, Entry>>();

    constructor(private readonly clock: Clock) {}

    /** Notes how an order ended. Only loads count. */
    note(target: string, action: Order["action"], isRefused: boolean): void {
        if (action.kind !== "load") {
            return;
        }
        const { model, version } = action;
        const key = JSON.stringify([model, version]);
        const own = this.entries.get(target) ?? new Map<string, Entry>();
        const count = isRefused ? (own.get(key)?.count ?? 0) + 1 : 0;
        own.set(key, { model, version, count, latest: this.clock.now() });
        this.entries.set(target, own);
    }

    /** The versions that a target has refused several times, not long ago. */
    of(target: string): RefusedVersion[] {
        const oldest = this.clock.now() - memoryTime;
        const own = [...this.entries.get(target)?.values() ?? []];
        return own.filter(({ count, latest }) => count >= enough && latest > oldest);
    }

    clear(): void {
        this.entries.clear();
    }
}
