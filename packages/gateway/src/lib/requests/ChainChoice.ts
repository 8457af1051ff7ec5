import { type ChainLoad } from "../chains/ChainRouter.js";
import { type ChainService } from "../chains/ChainService.js";
import { type AttemptLimits } from "./AttemptLimits.js";

/** Options of {@link ChainChoice}. */
export interface ChainChoiceOptions {
    readonly service: Pick<ChainService, "choose" | "chooseHealthy" | "chooseToResume" | "chooseWithRoom">;
    readonly limits: Pick<AttemptLimits, "isRetry" | "maySendTo">;
    /** Whether the request may be sent to the first target of a chain, or a permit for it may be available. */
    readonly mayPass: (headId: string) => boolean;
    /** Keys of the chains that the request is running on. */
    readonly running: () => readonly string[];
    /** Length of the request's prompt in tokens; undefined if unknown. */
    readonly prompt?: number;
}

/** Maximum number of chains that are listed for one send, to bound the time that this takes. */
const maxListed = 24;

type Chooser = (excluded: ReadonlySet<string>) => ChainLoad | undefined;

/**
 * Chooses the chain for the next send of one request. Excludes chains that it is running on, that failed it, or that
 * its route does not allow.
 */
export class ChainChoice {
    /** Keys of all chains that failed the request. */
    private readonly failed = new Set<string>();
    /** Keys of failed chains that would fail again; the others, which only lost a connection, are a last resort. */
    private readonly permanentlyFailed = new Set<string>();

    constructor(private readonly options: ChainChoiceOptions) {}

    /** @param mayReuse - Whether the chain may be used again if no other chain is available. */
    noteFailed(key: string, mayReuse: boolean): void {
        this.failed.add(key);
        if (!mayReuse) {
            this.permanentlyFailed.add(key);
        }
    }

    /** Makes all chains available again: one that refused a stream earlier may have room for it now. */
    reset(): void {
        this.failed.clear();
        this.permanentlyFailed.clear();
    }

    /**
     * @param listed - Keys of further chains that are left out.
     * @returns The chain for the next send, or undefined when there is none.
     */
    chooseNext(listed: ReadonlySet<string> = new Set()): ChainLoad | undefined {
        const { service, limits, prompt } = this.options;
        const choose: Chooser = limits.isRetry
            ? excluded => service.chooseToResume(excluded, prompt)
            : excluded => service.choose(excluded, prompt);
        return this.choose(choose, this.failed, listed) ?? this.choose(choose, this.permanentlyFailed, listed);
    }

    /** Lists the chains for the next send, best first. */
    *listNext(): Generator<ChainLoad> {
        const listed = new Set<string>();
        while (listed.size < maxListed) {
            const load = this.chooseNext(listed);
            if (load === undefined) {
                return;
            }
            yield load;
            listed.add(load.chain.key);
        }
    }

    /** @returns A healthy chain other than those that the request is running on. */
    chooseAlternative(): ChainLoad | undefined {
        const { service, prompt } = this.options;
        return this.choose(excluded => service.chooseHealthy(excluded, prompt), this.failed);
    }

    /** @returns A healthy chain with room, other than those that the request is running on. */
    chooseAlternativeWithRoom(): ChainLoad | undefined {
        const { service, prompt } = this.options;
        return this.choose(excluded => service.chooseWithRoom(excluded, prompt), this.failed);
    }

    private choose(
        choose: Chooser,
        failed: ReadonlySet<string>,
        listed: ReadonlySet<string> = new Set(),
    ): ChainLoad | undefined {
        const { limits, mayPass, running } = this.options;
        const excluded = new Set([...failed, ...listed, ...running()]);
        for (;;) {
            const load = choose(excluded);
            const headId = load?.chain.hops[0]?.targetId ?? "";
            if (load === undefined || (limits.maySendTo(headId) && mayPass(headId))) {
                return load;
            }
            excluded.add(load.chain.key);
        }
    }
}
