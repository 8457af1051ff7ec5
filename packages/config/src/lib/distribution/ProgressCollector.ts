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

const namedBehind = 50;
const asksForMissing = 32;
const timeoutShare = 0.8;
const rememberedQuestions = 100;

/**
 * How far a revision has come.
 *
 * @public
 */
export interface Progress {
    /** The revision that was asked about. */
    readonly revision: number;
    /** How many processes are known. */
    readonly hosts: number;
    /** How many of them are not known to have it in force. */
    readonly behindCount: number;
    /** The first of them, those of which nothing was heard included. */
    readonly behind: readonly HostBehind[];
}

/**
 * Finds out which processes have a revision in force, by asking down the tiers along which changes travel.
 *
 * @internal
 */
export class ProgressCollector {
    /** The questions last answered, since paths may form a circle while they change. */
    private readonly answered = new Set<string>();

    constructor(
        private readonly context: NodeContext,
        private readonly children: Children,
        private readonly call: PeerCaller,
    ) {}

    /** Answers for this process and for those that learn from it. */
    readonly answer: RpcMethod = async params => {
        const parsed = progressParamsSchema.safeParse(params);
        return parsed.success
            ? Result.ok(await this.collectOwn(parsed.data))
            : Result.err(failure(requestCodes.malformed, "malformed question for progress"));
    };

    /**
     * Asks every data centre.
     *
     * @param timeout - Milliseconds that it may take.
     */
    async collect(revision: number, timeout: number): Promise<Progress> {
        const { membership } = this.context;
        const hosts = membership.members().length;
        const params = { question: uniqueId(), revision, names: false, timeout: timeout / 2 };
        const quick = merge(await this.askReaders(params));
        if (quick.reached === hosts) {
            return { revision, hosts, behindCount: quick.behindCount, behind: quick.behind };
        }
        return this.collectByName({ ...params, question: uniqueId(), names: true });
    }

    /** Names every process that was not reached, and asks some of those directly. */
    private async collectByName(params: ProgressParams): Promise<Progress> {
        const { membership } = this.context;
        const members = membership.members();
        const answers = await this.askReaders(params);
        const reached = new Set(answers.flatMap(answer => answer.names ?? []));
        const missing = members.filter(one => !reached.has(one.process));
        const direct = await Promise.all(missing.slice(0, asksForMissing).map(one => this.ask(one, params)));
        const found = direct.filter(answer => answer.isOk).map(answer => answer.value);
        found.flatMap(answer => answer.names ?? []).forEach(name => reached.add(name));
        const total = merge([...answers, ...found]);
        const unheard = members.filter(one => !reached.has(one.process)).map(({ process }) => ({ process }));
        const behind = [...unheard, ...total.behind.filter(one => isKnown(membership, one))];
        const behindCount = unheard.length + Math.max(total.behind.length, total.behindCount);
        return { revision: params.revision, hosts: members.length, behindCount, behind: behind.slice(0, namedBehind) };
    }

    private async askReaders(params: ProgressParams): Promise<ProgressAnswer[]> {
        const { membership } = this.context;
        const readers = membership.dataCentres().flatMap(centre => membership.readers(centre));
        const answers = await Promise.all(readers.map(reader => this.ask(reader, params)));
        return answers.filter(answer => answer.isOk).map(answer => answer.value);
    }

    private async ask(member: Member, params: ProgressParams): Promise<Outcome<ProgressAnswer>> {
        if (member.process === this.context.membership.self.process) {
            return Result.ok(await this.collectOwn(params));
        }
        return parseAnswer(await this.call(member, rpcMethods.progress, params, params.timeout));
    }

    private async collectOwn(params: ProgressParams): Promise<ProgressAnswer> {
        if (!this.isNew(params.question)) {
            return merge([]);
        }
        const { process } = this.context.membership.self;
        const own = this.single(process, this.context.state.revision, params);
        const below = await Promise.all(this.children.list().map(child => this.askChild(child, params)));
        return merge([own, ...below]);
    }

    private isNew(question: string): boolean {
        if (this.answered.has(question)) {
            return false;
        }
        this.answered.add(question);
        const [oldest] = this.answered;
        if (this.answered.size > rememberedQuestions && oldest !== undefined) {
            this.answered.delete(oldest);
        }
        return true;
    }

    private async askChild(child: Child, params: ProgressParams): Promise<ProgressAnswer> {
        const acknowledged = this.single(child.process, child.revision, params);
        if (child.children === 0 && child.revision >= params.revision) {
            return acknowledged;
        }
        const timeout = params.timeout * timeoutShare;
        const answer = parseAnswer(await child.link.request(rpcMethods.progress, { ...params, timeout }, timeout));
        return answer.isOk ? answer.value : acknowledged;
    }

    private single(process: string, revision: number, params: ProgressParams): ProgressAnswer {
        const behind = revision < params.revision ? [{ process, revision }] : [];
        return { reached: 1, behindCount: behind.length, behind, ...(params.names ? { names: [process] } : {}) };
    }
}

function parseAnswer(asked: Outcome<unknown>): Outcome<ProgressAnswer> {
    return asked.andThen(value => {
        const parsed = progressAnswerSchema.safeParse(value);
        return parsed.success
            ? Result.ok<ProgressAnswer, never>(parsed.data)
            : Result.err(failure(requestCodes.malformed, "malformed answer about progress"));
    });
}

function merge(answers: readonly ProgressAnswer[]): ProgressAnswer {
    const names = answers.flatMap(answer => answer.names ?? []);
    const behind = answers.flatMap(answer => answer.behind);
    const unique = [...new Map(behind.map(one => [one.process, one])).values()];
    return {
        reached: answers.reduce((sum, answer) => sum + answer.reached, 0),
        behindCount: answers.reduce((sum, answer) => sum + answer.behindCount, 0),
        behind: unique.slice(0, namedBehind),
        ...(names.length > 0 ? { names } : {}),
    };
}

function isKnown(membership: Membership, { process }: HostBehind): boolean {
    return membership.members().some(one => one.process === process);
}
