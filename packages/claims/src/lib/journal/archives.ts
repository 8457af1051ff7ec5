import { type ObjectStore } from "@waxwingspar/stores";
import { failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { ArchiveIndex } from "./ArchiveIndex.js";
import { type ClaimRecord, packRecords, recordBlockSchema, unpackRecords } from "./ClaimRecord.js";
import { readJson } from "./readValue.js";

/** Maximum number of concurrent reads. */
const readsAtOnce = 8;

/** The name of the object that holds the index of an archive. @internal */
export function indexName(archive: string): string {
    return `${archive}.index`;
}

/** Encodes records as an archive. @internal */
export function encodeArchive(records: readonly ClaimRecord[]): Uint8Array {
    return new TextEncoder().encode(JSON.stringify(packRecords(records)));
}

/** Reads the indexes of archives, a limited number concurrently. @internal */
export async function loadIndexes(
    objects: ObjectStore,
    archives: readonly string[],
): Promise<Outcome<Map<string, ArchiveIndex>>> {
    const indexes = new Map<string, ArchiveIndex>();
    for (let first = 0; first < archives.length; first += readsAtOnce) {
        const group = archives.slice(first, first + readsAtOnce);
        const loaded = await Promise.all(group.map(name => loadIndex(objects, name)));
        for (const [position, outcome] of loaded.entries()) {
            if (outcome.isErr) {
                return Result.err(outcome.error);
            }
            indexes.set(group[position] ?? "", outcome.value);
        }
    }
    return Result.ok(indexes);
}

/** Reads the records of an archive. @internal */
export async function loadRecords(objects: ObjectStore, archive: string): Promise<Outcome<ClaimRecord[]>> {
    const data = await readObject(objects, archive);
    if (data.isErr) {
        return Result.err(data.error);
    }
    return readJson(recordBlockSchema, new TextDecoder().decode(data.value), archive).map(unpackRecords);
}

async function loadIndex(objects: ObjectStore, archive: string): Promise<Outcome<ArchiveIndex>> {
    const data = await readObject(objects, indexName(archive));
    if (data.isErr) {
        return Result.err(data.error);
    }
    const index = ArchiveIndex.decode(data.value);
    return index === undefined
        ? Result.err(failure(platformCodes.storeUnavailable, `${indexName(archive)} cannot be read`))
        : Result.ok(index);
}

async function readObject(objects: ObjectStore, name: string): Promise<Outcome<Uint8Array>> {
    const data = await objects.get(name);
    if (data.isErr) {
        return Result.err(data.error);
    }
    // The base row that refers to the missing object has been replaced; a retry reads the new one.
    return data.value === undefined
        ? Result.err(failure(platformCodes.storeUnknown, `${name} has been replaced`))
        : Result.ok(data.value);
}
