import { type Stage } from "@waxwingspar/transport";
import { failure, requestCodes } from "@waxwingspar/utils";
import { type AgentContext } from "../AgentContext.js";
import { type ChainFault } from "../faults.js";
import { Watchdog } from "../stage/Watchdog.js";
import { type Timeouts } from "../timeouts.js";
import { type Member } from "./LaterStages.js";

/** @internal */
export interface TokenWaitOptions {
    readonly context: AgentContext;
    readonly timeouts: Timeouts;
    readonly request: string;
    readonly epoch: number;
    readonly stages: readonly Stage[];
    /** The later stages with their links. */
    readonly members: () => readonly Member[];
    /** Runs when no token will come. */
    readonly lost: (fault: ChainFault) => void;
}

/**
 * The head's wait for the token of a position.
 *
 * @internal
 */
export class TokenWait {
    private readonly watchdog: Watchdog;
    private count = 0;

    constructor(private readonly options: TokenWaitOptions) {
        this.watchdog = new Watchdog(options.context.clock, () => this.silent());
    }

    /** True while a token is due. */
    get waiting(): boolean {
        return this.count > 0;
    }

    /** Starts to wait for the token that so many positions lead to. */
    expect(count: number): void {
        this.count = count;
        this.watchdog.expect(this.options.timeouts.silence(count));
    }

    clear(): void {
        this.count = 0;
        this.watchdog.clear();
    }

    stop(): void {
        this.count = 0;
        this.watchdog.stop();
    }

    private silent(): void {
        this.options.lost({ failure: failure(requestCodes.stageLost, "no token came from the chain in time") });
    }
}
