import { deflateRawSync, inflateRawSync } from "node:zlib";

const plainPrefix = "=";
const deflatedPrefix = "~";
/** The maximum length of text, in characters, that is not compressed. */
const maxPlainLength = 400;
const maxInflated = 256 * 1024 * 1024;

/**
 * Encodes a value as text: plain JSON if it is small, otherwise compressed.
 *
 * @internal
 */
export function pack(value: unknown): string {
    const text = JSON.stringify(value);
    if (text.length <= maxPlainLength) {
        return plainPrefix + text;
    }
    return deflatedPrefix + deflateRawSync(text).toString("base64");
}

/**
 * Decodes the output of {@link pack}.
 *
 * @returns The value, or undefined if the text is invalid.
 * @internal
 */
export function unpack(packed: string): unknown {
    const body = packed.slice(1);
    try {
        if (packed.startsWith(plainPrefix)) {
            return JSON.parse(body);
        }
        const inflated = inflateRawSync(Buffer.from(body, "base64"), { maxOutputLength: maxInflated });
        return JSON.parse(inflated.toString());
    }
    catch {
        return undefined;
    }
}
