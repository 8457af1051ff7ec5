import { type RpcMethod } from "@waxwingspar/transport";
import { failure, requestCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { z } from "zod";
import { type SessionTable } from "./SessionTable.js";

/** The JSON-RPC method by which one agent fetches a KV cache from another. @internal */
export const exportMethodName = "kv.export";

/** Bytes in one piece. Pieces keep an export from delaying the frames of other requests on the link. */
const pieceBytes = 1_048_576;

/** @internal */
export const exportParamsSchema = z.object({
    request: z.string(),
    epoch: z.number().int().nonnegative(),
    /** Offset of the first requested byte. */
    offset: z.number().int().nonnegative(),
});

/** @internal */
export const exportPieceSchema = z.object({
    positions: z.number().int().nonnegative(),
    known: z.number().int().nonnegative(),
    /** Total size in bytes. */
    size: z.number().int().nonnegative(),
    data: z.instanceof(Uint8Array),
});

/** A piece of an exported KV cache. @internal */
export type ExportPiece = z.infer<typeof exportPieceSchema>;

/** Creates the handler of `kv.export`. @internal */
export function createExportMethod(sessions: SessionTable): RpcMethod {
    return async (params, link) => {
        if (link.peer.role !== "agent") {
            return Result.err(failure(requestCodes.forbidden, "only agents fetch KV caches"));
        }
        const parsed = exportParamsSchema.safeParse(params);
        if (!parsed.success) {
            return Result.err(failure(requestCodes.malformed, "kv.export requires request, epoch and offset"));
        }
        const { request, epoch, offset } = parsed.data;
        const exported = await sessions.export(request, epoch);
        return exported.map(({ positions, known, data }): ExportPiece => ({
            positions,
            known,
            size: data.length,
            data: new Uint8Array(data.subarray(offset, offset + pieceBytes)),
        }));
    };
}
