import { type JoinMessage, type Link, type Stage } from "@waxwingspar/transport";
import { failure, requestCodes, type Timer, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type AgentContext } from "../AgentContext.js";
import { type ChainFault } from "../faults.js";
import { type JoinedMessage } from "../messages.js";

/** @internal */
export interface LaterStagesOptions {
    readonly context: AgentContext;
    /** The message for every stage, without its `index`. */
    readonly join: Omit<JoinMessage, "index">;
    /** Milliseconds within which all stages must be ready. */
    readonly timeout: number;
    /** Called when a stage is lost after all have joined. */
    readonly lost: (fault: ChainFault) => void;
}

/** @internal */
export interface LaterStage {
    readonly stage: Stage;
    link: Link | undefined;
    cached: number | undefined;
}

/**
 * The head's connection to the later stages of its chain: sends them `join`, waits until all are ready, and detects the
 * loss of a stage.
 *
 * @internal
 */
export class LaterStages {
    readonly members: readonly LaterStage[];
    private readonly unwatch: (() => void)[] = [];
    private settle: ((result: Result<number, ChainFault>) => void) | undefined;
    private timer: Timer | undefined;
    private closed = false;

    constructor(private readonly options: LaterStagesOptions) {
        this.members = options.join.stages.slice(1).map(stage => ({ stage, link: undefined, cached: undefined }));
    }

    /**
     * Sends `join` to every stage and waits until all are ready.
     *
     * @returns The length of the shortest cached prefix, or the first fault. Nothing has run in either case.
     */
    join(): Promise<Result<number, ChainFault>> {
        if (this.members.length === 0) {
            return Promise.resolve(Result.ok(Number.POSITIVE_INFINITY));
        }
        return new Promise(resolve => {
            this.settle = resolve;
            this.timer = this.options.context.clock.schedule(() => this.expire(), this.options.timeout);
            this.members.forEach((member, index) => void this.connect(member, index + 1));
        });
    }

    /** Handles a `joined` message: its stage is ready. */
    joined({ target, cached }: JoinedMessage): void {
        const member = this.members.find(candidate => candidate.stage.target === target);
        if (member === undefined || this.settle === undefined) {
            return;
        }
        member.cached = cached;
        const all = this.members.map(candidate => candidate.cached);
        if (all.every(value => value !== undefined)) {
            this.finish(Result.ok(Math.min(...all)));
        }
    }

    /** Handles a fault of a stage: fails the pending join, or reports the stage as lost if all have joined. */
    fault(fault: ChainFault): void {
        if (this.closed) {
            return;
        }
        if (this.settle !== undefined) {
            this.finish(Result.err(fault));
            return;
        }
        this.options.lost(fault);
    }

    /** Ends the attempt at every stage. */
    close(retain: boolean): void {
        if (this.closed) {
            return;
        }
        this.closed = true;
        this.finish(Result.err({ failure: failure(requestCodes.cancelled, "the attempt ended") }));
        this.unwatch.forEach(stop => stop());
        const { request, epoch } = this.options.join;
        const cancel = { type: "cancel", request, epoch, ...(retain ? { retain } : {}) } as const;
        this.members.forEach(member => member.link?.send(cancel));
    }

    private async connect(member: LaterStage, index: number): Promise<void> {
        const { context, join } = this.options;
        const { host, port, target } = member.stage;
        const link = await context.pool.connect({ host, port });
        if (this.closed) {
            return;
        }
        if (link.isErr) {
            this.fault({ failure: link.error, target });
            return;
        }
        member.link = link.value;
        this.unwatch.push(context.links.watch(link.value, () => this.linkLost(target)));
        link.value.send({ ...join, index });
    }

    private linkLost(target: string): void {
        this.fault({ failure: failure(transportCodes.connectionLost, `the link to ${target} closed`), target });
    }

    private expire(): void {
        const silent = this.members.find(member => member.cached === undefined);
        const target = silent?.stage.target;
        this.fault({
            failure: failure(requestCodes.noCapacity, `${target ?? "a stage"} did not join in time`),
            target,
        });
    }

    private finish(result: Result<number, ChainFault>): void {
        this.timer?.cancel();
        this.settle?.(result);
        this.settle = undefined;
    }
}
