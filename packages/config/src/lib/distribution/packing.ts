import { deflateRawSync, inflateRawSync } from "node:zlib";

const plainMark = "=";
const deflatedMark = "~";
const smallText = 400;
const maxInflated = 256 * 1024 * 1024;

/**
 * Writes a value as text for an answer: plain JSON when it is small, else compressed.
 *
 * @internal
 */
export function pack(value: unknown): string {
    const text = JSON.stringify(value);
    if (text.length <= smallText) {
        return plainMark + text;
    }
    return deflatedMark + deflateRawSync(text).toString("base64");
}

/**
 * Reads what {@link pack} wrote.
 *
 * @returns Undefined when it cannot be read.
 * @internal
 */
export function unpack(packed: string): unknown {
    const body = packed.slice(1);
    try {
        if (packed.startsWith(plainMark)) {
            return JSON.parse(body);
        }
        const inflated = inflateRawSync(Buffer.from(body, "base64"), { maxOutputLength: maxInflated });
        return JSON.parse(inflated.toString());
    }
    catch {
        return undefined;
    }
}
