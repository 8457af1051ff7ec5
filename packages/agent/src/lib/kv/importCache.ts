import { type Exporter, type LinkPool, type Stage } from "@waxwingspar/transport";
import { type Clock, failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type AgentContext } from "../AgentContext.js";
import { guarded } from "../guarded.js";
import { exportMethodName, exportPieceSchema } from "./exportMethod.js";
import { type CacheExport, type SessionRecord } from "./SessionTable.js";

/** Fewer positions than this are computed again rather than imported. */
const minimumGain = 8;

/** Exports larger than this are not fetched. */
const maximumBytes = 268_435_456;

type LayerRange = Pick<Stage, "first" | "last">;

/** A KV cache from elsewhere, and the attempt it belongs to. */
interface Found {
    readonly epoch: number;
    readonly cache: CacheExport;
}

/** @internal */
export interface CacheSources {
    /** The chain of the attempt. */
    readonly stages: readonly Stage[];
    /** Stages of earlier attempts that can export. */
    readonly exporters: readonly Exporter[];
}

/**
 * Fills a session that holds no positions of its own yet from an earlier attempt: one of this agent, or one of another
 * agent by `kv.export`. Whatever goes wrong only means that more is computed again. Since an attempt starts behind the
 * shortest prefix of all its stages, nothing is imported unless every stage can be.
 *
 * @param cached - Positions that the session has from the prefix cache.
 * @param wanted - Positions that the session could use.
 * @returns How many positions were imported; 0 when none.
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
    const imported = await guarded(() => context.engine.importCache(record.session, found.cache.data));
    return imported.isOk ? Math.min(usable, imported.value.positions) : 0;
}

/**
 * The leading positions of an older attempt that hold the same tokens as the new one. Directly after it, that is all
 * that was delivered; with another attempt between them, only what both knew when they began.
 */
function usablePositions(found: Found, epoch: number, wanted: number): number {
    const shared = found.epoch === epoch - 1 ? wanted : found.cache.known;
    return Math.min(found.cache.positions, shared, wanted);
}

async function findCache(
    context: AgentContext,
    record: SessionRecord,
    exporters: readonly Exporter[],
): Promise<Found | undefined> {
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

/** Fetches an export piece by piece, within one timeout for all. */
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
