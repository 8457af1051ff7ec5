import { type ObjectStore } from "@waxwingspar/platform";
import { failure, type Outcome, platformCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { type ClaimRecord, packRecords, recordBlockSchema, unpackRecords } from "./ClaimRecord.js";
import { type Archive } from "./partitionRows.js";
import { readJson } from "./readValue.js";

/** Archives read at the same time. */
const readsAtOnce = 8;

/** Writes records as the bytes of an archive. */
export function encodeArchive(records: readonly ClaimRecord[]): Uint8Array {
    return new TextEncoder().encode(JSON.stringify(packRecords(records)));
}

/**
 * Reads archives, some at a time, in any order.
 *
 * @param take - Receives the records of each.
 */
export async function loadArchives(
    objects: ObjectStore,
    archives: readonly Archive[],
    take: (records: ClaimRecord[]) => void,
): Promise<Outcome<void>> {
    for (let index = 0; index < archives.length; index += readsAtOnce) {
        const group = archives.slice(index, index + readsAtOnce);
        const loaded = await Promise.all(group.map(({ name }) => loadArchive(objects, name)));
        for (const outcome of loaded) {
            if (outcome.isErr) {
                return Result.err(outcome.error);
            }
            take(outcome.value);
        }
    }
    return Result.ok<void, never>(undefined);
}

async function loadArchive(objects: ObjectStore, name: string): Promise<Outcome<ClaimRecord[]>> {
    const data = await objects.get(name);
    if (data.isErr) {
        return Result.err(data.error);
    }
    if (data.value === undefined) {
        // The base row that named it has been replaced in the meantime; reading again finds the new one.
        return Result.err(failure(platformCodes.storeUnknown, `archive ${name} has been replaced`));
    }
    const text = new TextDecoder().decode(data.value);
    return readJson(recordBlockSchema, text, name).map(unpackRecords);
}
