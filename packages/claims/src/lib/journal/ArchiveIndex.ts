/** Number of bytes of a key's hash that form its fingerprint. A double represents 6 bytes exactly. */
const fingerprintBytes = 6;

/**
 * The sorted fingerprints of the keys in an archive, 8 bytes each. The index shows which of millions of keys may have
 * an archived claim, so that the archive itself is read only for those.
 *
 * @internal
 */
export class ArchiveIndex {
    private constructor(private readonly fingerprints: Float64Array) {}

    /** Creates the index of some keys. */
    static of(keyHashes: readonly string[]): ArchiveIndex {
        return new ArchiveIndex(Float64Array.from(keyHashes, fingerprint).sort());
    }

    /** Decodes an index, or returns undefined if the bytes are not an index. */
    static decode(bytes: Uint8Array): ArchiveIndex | undefined {
        if (bytes.length % Float64Array.BYTES_PER_ELEMENT !== 0) {
            return undefined;
        }
        const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.length);
        const length = bytes.length / Float64Array.BYTES_PER_ELEMENT;
        const read = (index: number) => view.getFloat64(index * Float64Array.BYTES_PER_ELEMENT);
        return new ArchiveIndex(Float64Array.from({ length }, (_, index) => read(index)));
    }

    /** The number of keys in the archive. */
    get size(): number {
        return this.fingerprints.length;
    }

    /** Encodes the index. */
    encode(): Uint8Array {
        const bytes = new Uint8Array(this.fingerprints.byteLength);
        const view = new DataView(bytes.buffer);
        this.fingerprints.forEach((value, index) => view.setFloat64(index * Float64Array.BYTES_PER_ELEMENT, value));
        return bytes;
    }

    /**
     * Whether the archive may contain the key with a fingerprint. There are false positives, but no false negatives.
     */
    mayContain(wanted: number): boolean {
        let low = 0;
        let high = this.fingerprints.length - 1;
        while (low <= high) {
            const middle = (low + high) >> 1;
            const value = this.fingerprints[middle] ?? 0;
            if (value === wanted) {
                return true;
            }
            if (value < wanted) {
                low = middle + 1;
            }
            else {
                high = middle - 1;
            }
        }
        return false;
    }
}

/** The fingerprint of a key's hash: its first 48 bits as a number. @internal */
export function fingerprint(keyHash: string): number {
    return Buffer.from(keyHash, "base64url").readUIntBE(0, fingerprintBytes);
}
