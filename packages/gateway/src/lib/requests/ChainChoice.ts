import { type ChainLoad } from "../chains/ChainRouter.js";
import { type ChainService } from "../chains/ChainService.js";
import { type AttemptLimits } from "./AttemptLimits.js";

/** Options of {@link ChainChoice}. */
export interface ChainChoiceOptions {
    readonly service: Pick<ChainService, "choose" | "chooseWell" | "chooseToResume" | "chooseWithRoom">;
    readonly limits: Pick<AttemptLimits, "isRepeat" | "maySendTo">;
    /** Keys of the chains that the request runs on now. */
    readonly running: () => readonly string[];
}

type Chooser = (excluded: ReadonlySet<string>) => ChainLoad | undefined;

/** The chain for the next send of one request: none that it runs on, that failed it, or that its route does not allow. */
export class ChainChoice {
    /** Keys of chains that failed the request in any way. */
    private readonly failed = new Set<string>();
    /** Those of them that would fail it again; one that merely lost a connection may be used if no other is left. */
    private readonly dead = new Set<string>();

    constructor(private readonly options: ChainChoiceOptions) {}

    /** @param mayReuse - Whether the chain may be used again if no other is left. */
    noteFailed(key: string, mayReuse: boolean): void {
        this.failed.add(key);
        if (!mayReuse) {
            this.dead.add(key);
        }
    }

    /** Lets all chains be used again: what turned a stream away a moment ago may have room for it now. */
    forget(): void {
        this.failed.clear();
        this.dead.clear();
    }

    /** The chain for the next send. */
    next(): ChainLoad | undefined {
        const { service, limits } = this.options;
        const choose: Chooser = limits.isRepeat
            ? excluded => service.chooseToResume(excluded)
            : excluded => service.choose(excluded);
        return this.choose(choose, this.failed) ?? this.choose(choose, this.dead);
    }

    /** A sound chain beside those that the request runs on. */
    another(): ChainLoad | undefined {
        return this.choose(excluded => this.options.service.chooseWell(excluded), this.failed);
    }

    /** The same, but none that is full. */
    anotherWithRoom(): ChainLoad | undefined {
        return this.choose(excluded => this.options.service.chooseWithRoom(excluded), this.failed);
    }

    private choose(choose: Chooser, failed: ReadonlySet<string>): ChainLoad | undefined {
        const { limits, running } = this.options;
        const excluded = new Set([...failed, ...running()]);
        for (;;) {
            const load = choose(excluded);
            if (load === undefined || limits.maySendTo(load.chain.hops[0]?.targetId ?? "")) {
                return load;
            }
            excluded.add(load.chain.key);
        }
    }
}
