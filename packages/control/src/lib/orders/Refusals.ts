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

/** Consecutive refusals after which a target counts as refusing a version. */
const refusalThreshold = 5;
/** Milliseconds after its latest refusal for which a version counts as refused. */
const refusalRetention = 300_000;

/**
 * Counts the loads that targets refuse, for example for lack of memory, so that the version is temporarily placed on
 * other targets.
 *
 * @internal
 */
export class Refusals {
    private readonly entries = new Map<string, Map<string, Entry>>();

    constructor(private readonly clock: Clock) {}

    /** Records the result of an order. Orders other than loads are ignored. */
    recordResult(target: string, action: Order["action"], isRefused: boolean): void {
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

    /** Returns the versions that a target has recently and repeatedly refused. */
    listFor(target: string): RefusedVersion[] {
        const oldest = this.clock.now() - refusalRetention;
        const own = [...this.entries.get(target)?.values() ?? []];
        return own.filter(({ count, latest }) => count >= refusalThreshold && latest > oldest);
    }

    clear(): void {
        this.entries.clear();
    }
}
