import { type RpcMethod } from "@waxwingspar/transport";
import { failure, type Outcome, requestCodes, resourceCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Snapshot } from "../revisions/LogEntry.js";
import { type Children } from "./Children.js";
import { type SinceAnswer, type SinceParams, sinceParamsSchema, snapshotParamsSchema } from "./messages.js";
import { type NodeContext } from "./NodeContext.js";
import { pack } from "./packing.js";

const longestWait = 10_000;
/** Resources that are packed at once: few enough that it takes a few milliseconds. */
const partResources = 200;
const snapshotLifetime = 60_000;

/**
 * Answers other processes that ask for changes of the configuration and of the live list.
 *
 * @internal
 */
export class ChangeServer {
    private taken: Snapshot | undefined;

    constructor(private readonly context: NodeContext, private readonly children: Children) {}

    readonly since: RpcMethod = async (params, link) => {
        const parsed = sinceParamsSchema.safeParse(params);
        if (!parsed.success) {
            return Result.err(failure(requestCodes.malformed, "malformed question for changes"));
        }
        this.context.membership.sawHello(link.peer);
        if (parsed.data.wait > 0 && !this.children.heard(parsed.data, link)) {
            return Result.err(failure(requestCodes.overloaded, "no room for another process to learn from here"));
        }
        if (!this.hasNews(parsed.data) && parsed.data.wait > 0) {
            await this.waitForNews(parsed.data);
        }
        return Result.ok(this.answer(parsed.data));
    };

    readonly snapshot: RpcMethod = async params => {
        const parsed = snapshotParamsSchema.safeParse(params);
        if (!parsed.success) {
            return Result.err(failure(requestCodes.malformed, "malformed question for a snapshot"));
        }
        return Promise.resolve(this.snapshotPart(parsed.data.revision, parsed.data.offset));
    };

    private async waitForNews(params: SinceParams): Promise<void> {
        const { clock, signal } = this.context;
        const end = clock.now() + Math.min(params.wait, longestWait);
        while (clock.now() < end && !this.hasNews(params)) {
            await signal.wait(end - clock.now());
        }
    }

    private hasNews(params: SinceParams): boolean {
        return this.context.state.revision > params.revision || this.hasNewerList(params);
    }

    private hasNewerList({ list, listAge }: SinceParams): boolean {
        const { lists, membership } = this.context;
        return lists.digest !== list && membership.listAge < (listAge ?? Number.POSITIVE_INFINITY);
    }

    private answer(params: SinceParams): SinceAnswer {
        const { state, age } = this.context;
        const answer: SinceAnswer = { revision: state.revision, ...this.listPart(params) };
        if (Number.isFinite(age)) {
            answer.age = Math.round(age);
        }
        if (state.revision > params.revision) {
            const entries = state.since(params.revision, params.digest);
            return entries === undefined ? { ...answer, snapshot: true } : { ...answer, entries: pack(entries) };
        }
        return answer;
    }

    private listPart(params: SinceParams): Partial<SinceAnswer> {
        const { lists, membership } = this.context;
        const listAge = Math.round(membership.listAge);
        if (lists.digest === params.list) {
            return Number.isFinite(listAge) ? { listAge } : {};
        }
        if (!this.hasNewerList(params)) {
            return {};
        }
        const change = lists.since(params.list);
        return change === undefined ? { listAge, list: pack(lists.list()) } : { listAge, listChange: pack(change) };
    }

    private snapshotPart(asked: number | undefined, offset: number): Outcome<unknown> {
        const snapshot = asked === undefined ? this.takeSnapshot() : this.taken;
        if (snapshot === undefined || (asked !== undefined && snapshot.revision !== asked)) {
            return Result.err(failure(resourceCodes.revisionGone, "the snapshot was replaced by a newer one"));
        }
        const { revision, digest, content, resources } = snapshot;
        const part = pack(resources.slice(offset, offset + partResources));
        return Result.ok({ revision, digest, content, total: resources.length, part });
    }

    /** Takes a snapshot, unless a recent one serves: what is missing in it follows as entries. */
    private takeSnapshot(): Snapshot {
        const { state, clock } = this.context;
        if (this.taken !== undefined && this.taken.revision >= state.oldest) {
            return this.taken;
        }
        const snapshot = state.snapshot();
        this.taken = snapshot;
        clock.schedule(() => this.release(snapshot), snapshotLifetime);
        return snapshot;
    }

    private release(snapshot: Snapshot): void {
        if (this.taken === snapshot) {
            this.taken = undefined;
        }
    }
}
