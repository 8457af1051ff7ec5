import { promisify } from "node:util";
import { gunzip, gzip } from "node:zlib";
import * as z from "zod/mini";

/** The rows of a table as of one version, as gateways hand them on to each other. */
const tableCopySchema = z.object({
    table: z.string(),
    /** The store version at which the table last changed. */
    version: z.number(),
    /** The store era that the version belongs to; undefined if the store reports none. */
    era: z.optional(z.number()),
    rows: z.array(z.object({ key: z.string(), value: z.unknown(), version: z.number() })),
});

/** @see tableCopySchema */
export type TableCopy = z.infer<typeof tableCopySchema>;

const compress = promisify(gzip);
const decompress = promisify(gunzip);
/** Fast compression: documents of many similar entries shrink to a twentieth at any level. */
const compressionLevel = 1;
/** Largest copy in bytes, uncompressed: a peer's reply cannot exhaust the memory of this process. */
const maxCopyBytes = 67_108_864;

/**
 * Serialises and compresses a copy.
 *
 * @throws RangeError if a row is nested too deeply to be serialised.
 */
export async function encodeTableCopy(copy: TableCopy): Promise<Buffer> {
    return compress(JSON.stringify(copy), { level: compressionLevel });
}

/** @returns Undefined if the bytes are truncated, damaged or no copy. */
export async function decodeTableCopy(bytes: Buffer): Promise<TableCopy | undefined> {
    try {
        const text = await decompress(bytes, { maxOutputLength: maxCopyBytes });
        return tableCopySchema.safeParse(JSON.parse(text.toString("utf8"))).data;
    }
    catch {
        return undefined;
    }
}
