import { type RpcMethod } from "@waxwingspar/transport";
import { failure, type Outcome, requestCodes, uniqueId } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type Member } from "../membership/Member.js";
import { type Membership } from "../membership/Membership.js";
import { type Child, type Children } from "./Children.js";
import {
    type HostBehind,
    type ProgressAnswer,
    progressAnswerSchema,
    type ProgressParams,
    progressParamsSchema,
    rpcMethods,
} from "./messages.js";
import { type NodeContext, type PeerCaller } from "./NodeContext.js";

/** The maximum number of processes that an answer names as behind. */
const maxNamedBehind = 50;
/** The maximum number of unreached processes that are queried directly. */
const maxDirectRequests = 32;
/** The share of its timeout that a process grants its children, so that it can still answer after they time out. */
const childTimeoutShare = 0.8;
const maxRememberedQueries = 100;

/**
 * The progress of a revision over all processes.
 *
 * @public
 */
export interface Progress {
    /** The revision that the progress refers to. */
    readonly revision: number;
    /** The number of known processes. */
    readonly hosts: number;
    /** The number of processes that are not known to have the revision in force. */
    readonly behindCount: number;
    /** The first of these processes, including those that did not answer. */
    readonly behind: readonly HostBehind[];
}

/**
 * Finds out which processes have a revision in force by querying down the tiers through which changes are distributed.
 *
 * @internal
 */
export class ProgressCollector {
    /** The IDs of recently answered queries, since the tree may contain cycles while parents change. */
    private readonly answered = new Set<string>();

    constructor(
        private readonly context: NodeContext,
        private readonly children: Children,
        private readonly call: PeerCaller,
    ) {}

    /** Answers a query for this process and its children. */
    readonly answer: RpcMethod = async params => {
        const parsed = progressParamsSchema.safeParse(params);
        return parsed.success
            ? Result.ok(await this.collectSubtree(parsed.data))
            : Result.err(failure(requestCodes.malformed, "malformed request for progress"));
    };

    /**
     * Collects the progress of a revision from all data centres.
     *
     * @param timeout - Milliseconds that the collection may take.
     */
    async collect(revision: number, timeout: number): Promise<Progress> {
        const { membership } = this.context;
        const hosts = membership.members().length;
        const params = { question: uniqueId(), revision, names: false, timeout: timeout / 2 };
        const quick = merge(await this.queryReaders(params));
        if (quick.reached === hosts) {
            return { revision, hosts, behindCount: quick.behindCount, behind: quick.behind };
        }
        return this.collectByName({ ...params, question: uniqueId(), names: true });
    }

    /** Collects the names of all reached processes, and queries some of those that were not reached directly. */
    private async collectByName(params: ProgressParams): Promise<Progress> {
        const { membership } = this.context;
        const members = membership.members();
        const answers = await this.queryReaders(params);
        const reached = new Set(answers.flatMap(answer => answer.names ?? []));
        const missing = members.filter(one => !reached.has(one.process));
        const direct = await Promise.all(missing.slice(0, maxDirectRequests).map(one => this.query(one, params)));
        const found = direct.filter(answer => answer.isOk).map(answer => answer.value);
        found.flatMap(answer => answer.names ?? []).forEach(name => reached.add(name));
        const total = merge([...answers, ...found]);
        const unreached = members.filter(one => !reached.has(one.process)).map(({ process }) => ({ process }));
        const behind = [...unreached, ...total.behind.filter(one => isKnown(membership, one))];
        const behindCount = unreached.length + Math.max(total.behind.length, total.behindCount);
        return {
            revision: params.revision,
            hosts: members.length,
            behindCount,
            behind: behind.slice(0, maxNamedBehind),
        };
    }

    private async queryReaders(params: ProgressParams): Promise<ProgressAnswer[]> {
        const { membership } = this.context;
        const readers = membership.dataCentres().flatMap(centre => membership.readers(centre));
        const answers = await Promise.all(readers.map(reader => this.query(reader, params)));
        return answers.filter(answer => answer.isOk).map(answer => answer.value);
    }

    private async query(member: Member, params: ProgressParams): Promise<Outcome<ProgressAnswer>> {
        if (member.process === this.context.membership.self.process) {
            return Result.ok(await this.collectSubtree(params));
        }
        return parseAnswer(await this.call(member, rpcMethods.progress, params, params.timeout));
    }

    private async collectSubtree(params: ProgressParams): Promise<ProgressAnswer> {
        if (!this.isNew(params.question)) {
            return merge([]);
        }
        const { process } = this.context.membership.self;
        const own = this.describeProcess(process, this.context.state.revision, params);
        const childAnswers = await Promise.all(this.children.list().map(child => this.queryChild(child, params)));
        return merge([own, ...childAnswers]);
    }

    private isNew(question: string): boolean {
        if (this.answered.has(question)) {
            return false;
        }
        this.answered.add(question);
        const [oldest] = this.answered;
        if (this.answered.size > maxRememberedQueries && oldest !== undefined) {
            this.answered.delete(oldest);
        }
        return true;
    }

    private async queryChild(child: Child, params: ProgressParams): Promise<ProgressAnswer> {
        const acknowledged = this.describeProcess(child.process, child.revision, params);
        if (child.children === 0 && child.revision >= params.revision) {
            return acknowledged;
        }
        const timeout = params.timeout * childTimeoutShare;
        const answer = parseAnswer(await child.link.request(rpcMethods.progress, { ...params, timeout }, timeout));
        return answer.isOk ? answer.value : acknowledged;
    }

    private describeProcess(process: string, revision: number, params: ProgressParams): ProgressAnswer {
        const behind = revision < params.revision ? [{ process, revision }] : [];
        return { reached: 1, behindCount: behind.length, behind, ...(params.names ? { names: [process] } : {}) };
    }
}

function parseAnswer(asked: Outcome<unknown>): Outcome<ProgressAnswer> {
    return asked.andThen(value => {
        const parsed = progressAnswerSchema.safeParse(value);
        return parsed.success
            ? Result.ok<ProgressAnswer, never>(parsed.data)
            : Result.err(failure(requestCodes.malformed, "malformed response to a request for progress"));
    });
}

function merge(answers: readonly ProgressAnswer[]): ProgressAnswer {
    const names = answers.flatMap(answer => answer.names ?? []);
    const behind = answers.flatMap(answer => answer.behind);
    const unique = [...new Map(behind.map(one => [one.process, one])).values()];
    return {
        reached: answers.reduce((sum, answer) => sum + answer.reached, 0),
        behindCount: answers.reduce((sum, answer) => sum + answer.behindCount, 0),
        behind: unique.slice(0, maxNamedBehind),
        ...(names.length > 0 ? { names } : {}),
    };
}

function isKnown(membership: Membership, { process }: HostBehind): boolean {
    return membership.members().some(one => one.process === process);
}
