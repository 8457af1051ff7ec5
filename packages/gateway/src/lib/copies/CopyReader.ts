import { type Clock, type Random } from "@waxwingspar/utils";
import { type Observation } from "../observation/Observation.js";
import { type ReplyProgress } from "../store/Store.js";
import { decodeTableCopy, type TableCopy } from "./TableCopy.js";

/** The result of asking one peer for a copy. */
export type CopyReply =
    | { readonly kind: "copy"; readonly bytes: Buffer; readonly progress: ReplyProgress; }
    | { readonly kind: "busy"; readonly holders: readonly string[]; }
    | { readonly kind: "failed"; readonly reason: string; readonly progress?: ReplyProgress; };

/** Options of {@link CopyReader}. */
export interface CopyReaderOptions {
    readonly clock: Clock;
    readonly random: Random;
    /** Address of this gateway, which is not asked. */
    readonly own: string;
    readonly observation: Observation;
    /** Asks a peer for its copy of a table. */
    readonly fetch: (address: string, table: string) => Promise<CopyReply>;
    /** The era of the store as known here. */
    readonly era: () => number | undefined;
}

/** A copy that was read from a peer. */
export interface ReadCopy {
    readonly copy: TableCopy;
    readonly encoded: Buffer;
    readonly progress: ReplyProgress;
    readonly peer: string;
}

interface Holder {
    readonly version: number;
    readonly reportedAt: number;
}

/** Peers that are asked before the store is. */
const maxAttempts = 3;
/** Milliseconds for which a peer's report that it has a version counts. */
const reportLifetime = 2_000;

/**
 * Reads a table from peers that reported to have it, so that the store need not send it to each gateway. A copy counts
 * only if it is whole, of the store's current era, and at least of the version that is wanted.
 */
export class CopyReader {
    /** By table, then by address. */
    private readonly holders = new Map<string, Map<string, Holder>>();

    constructor(private readonly options: CopyReaderOptions) {}

    /** Records that a peer of the own data centre has a table up to a version. */
    noteHolder(table: string, address: string, version: number): void {
        const holders = this.holders.get(table) ?? new Map<string, Holder>();
        this.holders.set(table, holders);
        holders.set(address, { version, reportedAt: this.options.clock.now() });
    }

    /** @returns Undefined if no peer gave a copy of that version or a newer one; the store is to be asked then. */
    async read(table: string, version: number): Promise<ReadCopy | undefined> {
        const candidates = this.listHolders(table, version);
        const asked = new Set<string>();
        for (let peer = this.takeAny(candidates); peer !== undefined && asked.size < maxAttempts;) {
            asked.add(peer);
            const reply = await this.options.fetch(peer, table);
            const read = reply.kind === "copy" ? await this.check(reply, peer, table, version) : undefined;
            if (read !== undefined) {
                this.record(peer, table, "read", reply);
                return read;
            }
            this.record(peer, table, reply.kind === "copy" ? "not usable" : reply.kind, reply);
            if (reply.kind === "busy") {
                candidates.push(...reply.holders.filter(one => !asked.has(one) && one !== this.options.own));
            }
            peer = this.takeAny(candidates);
        }
        return undefined;
    }

    private async check(
        { bytes, progress }: Extract<CopyReply, { readonly kind: "copy"; }>,
        peer: string,
        table: string,
        version: number,
    ): Promise<ReadCopy | undefined> {
        const copy = await decodeTableCopy(bytes);
        const isUsable = copy?.table === table && copy.version >= version && copy.era === this.options.era();
        return isUsable ? { copy, encoded: bytes, progress, peer } : undefined;
    }

    private listHolders(table: string, version: number): string[] {
        const since = this.options.clock.now() - reportLifetime;
        return [...this.holders.get(table) ?? []]
            .filter(([address, holder]) =>
                address !== this.options.own && holder.version >= version && holder.reportedAt >= since
            )
            .map(([address]) => address);
    }

    /** Removes and returns one at random, which spreads the gateways of a data centre over those that have the copy. */
    private takeAny(addresses: string[]): string | undefined {
        return addresses.splice(Math.floor(this.options.random.next() * addresses.length), 1)[0];
    }

    private record(peer: string, table: string, result: string, reply: CopyReply): void {
        const { logs, metrics } = this.options.observation;
        const progress = reply.kind === "busy" ? undefined : reply.progress;
        metrics.peerCopies.add({ table, result });
        metrics.peerCopyBytes.add({ table }, progress?.bytes ?? 0);
        logs.configuration.info({
            peer,
            table,
            result,
            reason: reply.kind === "failed" ? reply.reason : undefined,
            bytes: progress?.bytes,
            duration: progress === undefined ? undefined : Math.round(progress.duration),
        }, "copy asked of a peer");
    }
}
