import { type ObjectStore } from "@waxwingspar/stores";
import { type Clock, failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Claim, type Runner } from "../Claims.js";
import { type FinalClaims, FinalClaimsIndex, type FinalOutcome, parseFinalClaims } from "./FinalClaims.js";

/** Options of {@link FinalClaimsStore}. @public */
export interface FinalClaimsStoreOptions {
    readonly objects: ObjectStore;
    readonly clock: Clock;
    /** Milliseconds after which a call to the object store times out. */
    readonly timeout?: number;
    /** Milliseconds for which an object that was found is cached. */
    readonly foundTtl?: number;
    /** Milliseconds for which the absence of an object is cached. */
    readonly missingTtl?: number;
    /** Maximum number of runners whose objects are cached. */
    readonly limit?: number;
}

interface CachedRead {
    readonly index: Promise<FinalClaimsIndex | undefined>;
    until: number;
}

const prefix = "claims/left/";

/** Maximum number of old objects of one target that are checked for deletion in one pass. */
const maxOldObjects = 8;
const defaults = { timeout: 1000, foundTtl: 30_000, missingTtl: 1000, limit: 16 };

/**
 * Stores the claims of runners that shut down gracefully in the object store, one object per runner.
 *
 * @example
 * ```ts
 * const finalClaims = new FinalClaimsStore({ objects, clock });
 * await finalClaims.write(claimsOfThisAgent); // by the agent, once it can no longer run any request
 * const outcome = await finalClaims.find(claim); // by an entry that cannot reach the runner of a claim
 * ```
 * @public
 */
export class FinalClaimsStore {
    private readonly options: Required<FinalClaimsStoreOptions>;
    private readonly reads = new Map<string, CachedRead>();

    constructor(options: FinalClaimsStoreOptions) {
        this.options = { ...defaults, ...options };
    }

    /** Writes the claims of a runner that can no longer run any request, and deletes old objects of its target. */
    async write(finalClaims: FinalClaims): Promise<Outcome<void>> {
        const data = Buffer.from(JSON.stringify(finalClaims));
        const written = await this.withTimeout(this.options.objects.put(nameOf(finalClaims), data));
        if (written.isOk) {
            await this.deleteOld(finalClaims);
        }
        return written;
    }

    /**
     * Looks up the outcome that the runner of a claim wrote at shutdown.
     *
     * @returns `unknown` also if the runner wrote no object or the store does not respond in time.
     */
    async find(claim: Pick<Claim, "id" | "runner">): Promise<FinalOutcome> {
        const index = await this.read(claim.runner);
        return index?.outcome(claim.id) ?? { kind: "unknown" };
    }

    private read(runner: Runner): Promise<FinalClaimsIndex | undefined> {
        const { clock, foundTtl, missingTtl, timeout } = this.options;
        const name = nameOf(runner);
        const known = this.reads.get(name);
        if (known !== undefined && clock.now() < known.until) {
            return known.index;
        }
        const index = this.fetch(runner);
        const read = { index, until: clock.now() + timeout + missingTtl };
        this.reads.delete(name);
        this.reads.set(name, read);
        this.trim();
        void index.then(found => {
            read.until = clock.now() + (found === undefined ? missingTtl : foundTtl);
        });
        return index;
    }

    private async fetch(runner: Runner): Promise<FinalClaimsIndex | undefined> {
        const loaded = await this.load(nameOf(runner));
        const matches = loaded?.target === runner.target && loaded.incarnation === runner.incarnation;
        return matches ? new FinalClaimsIndex(loaded) : undefined;
    }

    private async load(name: string): Promise<FinalClaims | undefined> {
        const found = await this.withTimeout(this.options.objects.get(name));
        return found.isOk && found.value !== undefined ? parseFinalClaims(found.value) : undefined;
    }

    private trim(): void {
        for (const name of this.reads.keys()) {
            if (this.reads.size <= this.options.limit) {
                return;
            }
            this.reads.delete(name);
        }
    }

    /** Deletes the expired objects of earlier incarnations. */
    private async deleteOld({ target, incarnation }: FinalClaims): Promise<void> {
        const { objects, clock } = this.options;
        const names = await this.withTimeout(objects.list(`${prefix}${encodeURIComponent(target)}/`));
        const own = nameOf({ target, incarnation });
        for (const name of names.unwrapOr([]).filter(other => other !== own).slice(0, maxOldObjects)) {
            const loaded = await this.load(name);
            if (loaded !== undefined && loaded.until < clock.date().getTime()) {
                await this.withTimeout(objects.delete(name));
            }
        }
    }

    private withTimeout<T>(call: Promise<Outcome<T>>): Promise<Outcome<T>> {
        const { clock, timeout } = this.options;
        return new Promise((resolve, reject) => {
            const timer = clock.schedule(
                () => resolve(Result.err(failure(platformCodes.storeUnknown, `no answer within ${timeout} ms`))),
                timeout,
            );
            call.then(resolve, reject).finally(() => timer.cancel());
        });
    }
}

function nameOf({ target, incarnation }: Runner): string {
    return `${prefix}${encodeURIComponent(target)}/${encodeURIComponent(incarnation)}`;
}
