import { type RpcMethod } from "@waxwingspar/transport";
import { failure, type Outcome, requestCodes, resourceCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Children } from "./Children.js";
import { type SinceAnswer, type SinceParams, sinceParamsSchema, snapshotParamsSchema } from "./messages.js";
import { type NodeContext } from "./NodeContext.js";
import { pack } from "./packing.js";

const longestWait = 10_000;
const partCharacters = 262_144;
const snapshotLifetime = 60_000;

/**
 * Answers other processes that ask for changes of the configuration and of the live list.
 *
 * @internal
 */
export class ChangeServer {
    private packed: { readonly revision: number; readonly text: string; } | undefined;

    constructor(private readonly context: NodeContext, private readonly children: Children) {}

    readonly since: RpcMethod = async (params, link) => {
        const parsed = sinceParamsSchema.safeParse(params);
        if (!parsed.success) {
            return Result.err(failure(requestCodes.malformed, "malformed question for changes"));
        }
        this.context.membership.sawHello(parsed.data);
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

    private snapshotPart(revision: number | undefined, offset: number): Outcome<unknown> {
        if (revision === undefined) {
            this.preparePacked();
        }
        const packed = this.packed;
        if (packed === undefined || (revision !== undefined && packed.revision !== revision)) {
            return Result.err(failure(resourceCodes.revisionGone, "the snapshot was replaced by a newer one"));
        }
        const part = packed.text.slice(offset, offset + partCharacters);
        return Result.ok({ revision: packed.revision, part, length: packed.text.length });
    }

    /** Packs the snapshot, unless a recent one serves: what is missing in it follows as entries. */
    private preparePacked(): void {
        const { state, clock } = this.context;
        if (this.packed !== undefined && this.packed.revision >= state.oldest) {
            return;
        }
        const packed = { revision: state.revision, text: pack(state.snapshot()) };
        this.packed = packed;
        clock.schedule(() => this.release(packed), snapshotLifetime);
    }

    private release(packed: object): void {
        if (this.packed === packed) {
            this.packed = undefined;
        }
    }
}
