import { type RpcMethod } from "@waxwingspar/transport";
import { failure, type Outcome, requestCodes, resourceCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Snapshot } from "../revisions/LogEntry.js";
import { type Children } from "./Children.js";
import { type SinceAnswer, type SinceParams, sinceParamsSchema, snapshotParamsSchema } from "./messages.js";
import { type NodeContext } from "./NodeContext.js";
import { pack } from "./packing.js";

const maxWait = 10_000;
/** Resources per part of a snapshot, few enough that packing a part takes only a few milliseconds. */
const resourcesPerPart = 200;
const snapshotLifetime = 60_000;

/**
 * Serves changes of the configuration and of the live list to other processes.
 *
 * @internal
 */
export class ChangeServer {
    private taken: Snapshot | undefined;

    constructor(private readonly context: NodeContext, private readonly children: Children) {}

    readonly since: RpcMethod = async (params, link) => {
        const parsed = sinceParamsSchema.safeParse(params);
        if (!parsed.success) {
            return Result.err(failure(requestCodes.malformed, "malformed request for changes"));
        }
        this.context.membership.recordHello(link.peer);
        if (parsed.data.wait > 0 && !this.children.acknowledge(parsed.data, link)) {
            return Result.err(failure(requestCodes.overloaded, "this process cannot serve another child"));
        }
        if (!this.hasUpdates(parsed.data) && parsed.data.wait > 0) {
            await this.waitForUpdates(parsed.data);
        }
        return Result.ok(this.answer(parsed.data));
    };

    readonly snapshot: RpcMethod = async params => {
        const parsed = snapshotParamsSchema.safeParse(params);
        if (!parsed.success) {
            return Result.err(failure(requestCodes.malformed, "malformed request for a snapshot"));
        }
        return Promise.resolve(this.snapshotPart(parsed.data.revision, parsed.data.offset));
    };

    private async waitForUpdates(params: SinceParams): Promise<void> {
        const { clock, signal } = this.context;
        const end = clock.now() + Math.min(params.wait, maxWait);
        while (clock.now() < end && !this.hasUpdates(params)) {
            await signal.wait(end - clock.now());
        }
    }

    private hasUpdates(params: SinceParams): boolean {
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
        const snapshot = asked === undefined ? this.currentSnapshot() : this.taken;
        if (snapshot === undefined || (asked !== undefined && snapshot.revision !== asked)) {
            return Result.err(failure(resourceCodes.revisionGone, "the snapshot was replaced by a newer one"));
        }
        const { revision, digest, content, resources } = snapshot;
        const part = pack(resources.slice(offset, offset + resourcesPerPart));
        return Result.ok({ revision, digest, content, total: resources.length, part });
    }

    /** Returns the cached snapshot if the entries since it are still retained, otherwise a new one. */
    private currentSnapshot(): Snapshot {
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
