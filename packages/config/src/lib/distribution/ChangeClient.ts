import { type Address } from "@waxwingspar/transport";
import { failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { type Resource } from "../resources/Resource.js";
import { logEntrySchema, resourceSchema, type Snapshot } from "../revisions/LogEntry.js";
import {
    listChangeSchema,
    listSchema,
    rpcMethods,
    type SinceAnswer,
    sinceAnswerSchema,
    type SinceParams,
    snapshotAnswerSchema,
} from "./messages.js";
import { type NodeContext, type PeerCaller } from "./NodeContext.js";
import { unpack } from "./packing.js";

/** Milliseconds allowed for a response in addition to the time for which the peer may delay it. */
const replyMargin = 500;
const snapshotTimeout = 5000;
/** Characters of the digest that are sent: 48 bits, enough to detect a diverged log. */
const sentDigestLength = 12;

/** The state of a peer when it responded. @internal */
export interface PeerState {
    readonly revision: number;
    /** Milliseconds since the peer was last synchronised with the store; infinite if it never was. */
    readonly age: number;
    /** Whether the response contained entries. */
    readonly hasEntries: boolean;
}

/**
 * Fetches changes from peers and puts them in force.
 *
 * @internal
 */
export class ChangeClient {
    constructor(
        private readonly context: NodeContext,
        private readonly call: PeerCaller,
        private readonly children: () => number,
    ) {}

    /**
     * Fetches all changes after the revision in force.
     *
     * @param wait - Milliseconds for which the peer may delay the response while it has nothing new.
     */
    async fetchChanges(peer: Address, wait: number): Promise<Outcome<PeerState>> {
        const asked = await this.call(peer, rpcMethods.since, this.params(wait), wait + replyMargin);
        const answer = asked.andThen(value => parse(sinceAnswerSchema, value));
        if (answer.isErr) {
            return Result.err(answer.error);
        }
        this.applyList(answer.value);
        const taken = await this.applyEntries(peer, answer.value);
        if (taken.isErr) {
            return Result.err(taken.error);
        }
        const { revision, age = Number.POSITIVE_INFINITY } = answer.value;
        if (this.context.state.revision >= revision) {
            this.context.markSynced(age);
        }
        return Result.ok({ revision, age, hasEntries: answer.value.entries !== undefined });
    }

    private params(wait: number): SinceParams {
        const { state, lists, membership } = this.context;
        const digest = state.digest.slice(0, sentDigestLength);
        const listAge = Number.isFinite(membership.listAge) ? { listAge: Math.round(membership.listAge) } : {};
        return { revision: state.revision, digest, list: lists.digest, wait, children: this.children(), ...listAge };
    }

    private async applyEntries(peer: Address, answer: SinceAnswer): Promise<Outcome<true>> {
        const { state } = this.context;
        if (answer.snapshot === true) {
            return this.fetchSnapshot(peer);
        }
        if (answer.entries === undefined) {
            return Result.ok(true);
        }
        const entries = parse(z.array(logEntrySchema), unpack(answer.entries));
        if (entries.isErr) {
            return Result.err(entries.error);
        }
        const result = state.apply(entries.value);
        return result === "gap" || result === "diverged" ? this.fetchSnapshot(peer) : Result.ok(true);
    }

    private async fetchSnapshot(peer: Address): Promise<Outcome<true>> {
        const resources: Resource[] = [];
        let revision: number | undefined;
        for (;;) {
            const params = { revision, offset: resources.length };
            const asked = await this.call(peer, rpcMethods.snapshot, params, snapshotTimeout);
            const answer = asked.andThen(value => parse(snapshotAnswerSchema, value));
            if (answer.isErr) {
                return Result.err(answer.error);
            }
            const part = parse(z.array(resourceSchema), unpack(answer.value.part));
            if (part.isErr) {
                return Result.err(part.error);
            }
            resources.push(...part.value as Resource[]);
            revision = answer.value.revision;
            if (resources.length >= answer.value.total || part.value.length === 0) {
                return this.load({ ...answer.value, resources });
            }
        }
    }

    private load(snapshot: Snapshot): Outcome<true> {
        const result = this.context.state.load(snapshot);
        return result === "diverged" ? unreadable("a snapshot that does not match its content sum") : Result.ok(true);
    }

    private applyList({ listAge, list, listChange }: SinceAnswer): void {
        if (listAge === undefined) {
            return;
        }
        if (list === undefined && listChange === undefined) {
            this.context.membership.confirmList(listAge);
            return;
        }
        const next = list === undefined
            ? parse(listChangeSchema, unpack(listChange ?? "")).map(change => this.context.lists.changed(change))
            : parse(listSchema, unpack(list));
        if (next.isOk) {
            this.context.applyList(next.value, listAge);
        }
    }
}

function parse<T extends z.ZodType>(schema: T, value: unknown): Outcome<z.infer<T>> {
    const parsed = schema.safeParse(value);
    return parsed.success ? Result.ok(parsed.data) : unreadable("an answer that cannot be read");
}

function unreadable<T>(what: string): Outcome<T> {
    return Result.err(failure(transportCodes.protocolViolation, `the peer sent ${what}`));
}
