import { type Exporter, type LinkPool, type Stage } from "@waxwingspar/transport";
import { type Clock, failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type AgentContext } from "../AgentContext.js";
import { callEngine } from "../callEngine.js";
import { exportMethodName, exportPieceSchema } from "./exportMethod.js";
import { type CacheExport, type SessionRecord } from "./SessionTable.js";

/** Minimum number of positions to gain; fewer are recomputed rather than imported. */
const minimumGain = 8;

/** Maximum size of a fetched export, in bytes. */
const maximumBytes = 268_435_456;

type LayerRange = Pick<Stage, "first" | "last">;

/** A KV cache of an earlier attempt, and the epoch of that attempt. */
interface FoundCache {
    readonly epoch: number;
    readonly cache: CacheExport;
}

/** @internal */
export interface CacheSources {
    /** The chain of the attempt. */
    readonly stages: readonly Stage[];
    /** Stages of earlier attempts that can export their KV cache. */
    readonly exporters: readonly Exporter[];
}

/**
 * Imports the KV cache of an earlier attempt into a session that has run no positions yet. The cache comes from this
 * agent, or from another agent by `kv.export`. A failed import only means that more positions are recomputed. Since an
 * attempt starts after the shortest cached prefix of its stages, nothing is imported unless every stage can import.
 *
 * @param cached - Number of positions that the session has from the prefix cache.
 * @param wanted - Number of positions that the session can use.
 * @returns The number of imported positions, or 0 if nothing was imported.
 * @internal
 */
export async function importCache(
    context: AgentContext,
    record: SessionRecord,
    { stages, exporters }: CacheSources,
    cached: number,
    wanted: number,
): Promise<number> {
    if (wanted - cached < minimumGain || !stages.every(stage => exporters.some(other => sameRange(stage, other)))) {
        return 0;
    }
    const found = await findCache(context, record, exporters);
    if (found === undefined) {
        return 0;
    }
    const usable = usablePositions(found, record.epoch, wanted);
    if (usable - cached < minimumGain) {
        return 0;
    }
    const imported = await callEngine(() => context.engine.importCache(record.session, found.cache.data));
    return imported.isOk ? Math.min(usable, imported.value.positions) : 0;
}

/**
 * Returns the number of leading positions at which an earlier attempt holds the same tokens as the new one. For the
 * attempt directly before the new one, these are all delivered positions; for an older one, only those whose tokens all
 * later attempts share, see {@link SessionRecord}.
 */
function usablePositions(found: FoundCache, epoch: number, wanted: number): number {
    const shared = found.epoch === epoch - 1 ? wanted : found.cache.known;
    return Math.min(found.cache.positions, shared, wanted);
}

async function findCache(
    context: AgentContext,
    record: SessionRecord,
    exporters: readonly Exporter[],
): Promise<FoundCache | undefined> {
    const own = context.sessions.findEarlier(record);
    const best = exporters
        .filter(exporter => sameRange(exporter, record) && exporter.epoch < record.epoch)
        .sort((a, b) => b.epoch - a.epoch)[0];
    if (own !== undefined && own.epoch >= (best?.epoch ?? 0)) {
        const cache = await context.sessions.export(own.request, own.epoch);
        return cache.isOk ? { epoch: own.epoch, cache: cache.value } : undefined;
    }
    if (best === undefined || best.target === context.target) {
        return undefined;
    }
    const { pool, clock, settings } = context;
    const cache = await fetchCache(pool, clock, best, record.request, settings.importTimeout);
    return cache.isOk ? { epoch: best.epoch, cache: cache.value } : undefined;
}

function sameRange(a: LayerRange, b: LayerRange): boolean {
    return a.first === b.first && a.last === b.last;
}

/** Fetches an export piece by piece, within one timeout for all pieces. */
async function fetchCache(
    pool: LinkPool,
    clock: Clock,
    exporter: Exporter,
    request: string,
    timeout: number,
): Promise<Outcome<CacheExport>> {
    const deadline = clock.now() + timeout;
    const link = await pool.connect({ host: exporter.host, port: exporter.port });
    if (link.isErr) {
        return Result.err(link.error);
    }
    const pieces: Uint8Array<ArrayBuffer>[] = [];
    let received = 0;
    let expectedSize: number | undefined;
    for (;;) {
        const left = deadline - clock.now();
        if (left <= 0) {
            return Result.err(failure(transportCodes.requestTimeout, "the KV cache did not arrive in time"));
        }
        const params = { request, epoch: exporter.epoch, offset: received };
        const answer = await link.value.request(exportMethodName, params, left);
        if (answer.isErr) {
            return Result.err(answer.error);
        }
        const piece = exportPieceSchema.safeParse(answer.value);
        if (!piece.success || piece.data.size > maximumBytes || piece.data.data.length === 0) {
            return Result.err(failure(transportCodes.protocolViolation, "the KV cache cannot be read"));
        }
        const { positions, known, size, data } = piece.data;
        if (expectedSize !== undefined && size !== expectedSize) {
            return Result.err(failure(transportCodes.protocolViolation, "the KV cache changed while it was fetched"));
        }
        expectedSize = size;
        pieces.push(data);
        received += data.length;
        if (received >= size) {
            return Result.ok({ positions, known, data: Buffer.concat(pieces) });
        }
    }
}
