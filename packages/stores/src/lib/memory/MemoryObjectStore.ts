import { type Clock, type Outcome } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type ObjectStore } from "../ObjectStore.js";
import { FaultInjector } from "./FaultInjector.js";

/**
 * An in-memory object store for tests and trials.
 *
 * @public
 */
export class MemoryObjectStore implements ObjectStore {
    readonly faults: FaultInjector;
    private readonly objects = new Map<string, Uint8Array>();

    constructor(options: { readonly clock: Clock; }) {
        this.faults = new FaultInjector(options.clock);
    }

    put(name: string, data: Uint8Array): Promise<Outcome<void>> {
        const copy = Uint8Array.from(data);
        return this.faults.run("write", () => {
            this.objects.set(name, copy);
            return Result.ok<void, never>(undefined);
        });
    }

    get(name: string): Promise<Outcome<Uint8Array | undefined>> {
        return this.faults.run("read", () => {
            const data = this.objects.get(name);
            return Result.ok(data === undefined ? undefined : Uint8Array.from(data));
        });
    }

    list(prefix: string): Promise<Outcome<string[]>> {
        return this.faults.run("read", () => {
            return Result.ok([...this.objects.keys()].filter(name => name.startsWith(prefix)).sort());
        });
    }

    delete(name: string): Promise<Outcome<void>> {
        return this.faults.run("write", () => {
            this.objects.delete(name);
            return Result.ok<void, never>(undefined);
        });
    }
}
