import { failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { Packr } from "msgpackr";
import { Result } from "true-myth";
import { type Message, messageSchema } from "../messages/Message.js";
import { lengthBytes } from "./FrameParser.js";

/** Plain maps only: with shared record structures a frame could not be decoded on its own. */
const packr = new Packr({ useRecords: false, int64AsType: "number" });

/** The MessagePack marker of an array whose length follows in 32 bits. */
const arrayMarker = 0xdd;
const arrayHeaderBytes = 5;

/** Bytes of a frame in addition to its encoded messages. @internal */
export const frameOverhead = lengthBytes + arrayHeaderBytes;

/**
 * Encodes one message. A frame's body is the concatenation of encoded messages behind an array header.
 *
 * @internal
 */
export function encodeMessage(message: Message): Buffer {
    return packr.pack(message);
}

/**
 * Builds a frame, with its length, from encoded messages.
 *
 * @internal
 */
export function buildFrame(encoded: readonly Buffer[]): Buffer {
    const bodyBytes = encoded.reduce((sum, part) => sum + part.length, arrayHeaderBytes);
    const frame = Buffer.allocUnsafe(lengthBytes + bodyBytes);
    frame.writeUInt32BE(bodyBytes, 0);
    frame.writeUInt8(arrayMarker, lengthBytes);
    frame.writeUInt32BE(encoded.length, lengthBytes + 1);
    let offset = frameOverhead;
    for (const part of encoded) {
        offset += part.copy(frame, offset);
    }
    return frame;
}

/**
 * Decodes the messages of a frame and checks each against its schema.
 *
 * @param body - The frame without its length.
 * @returns The messages, or `protocolViolation` if any of them is malformed.
 * @internal
 */
export function decodeFrame(body: Buffer): Outcome<Message[]> {
    const decoded = unpack(body);
    if (!Array.isArray(decoded)) {
        return Result.err(failure(transportCodes.protocolViolation, "frame is not an array of messages"));
    }
    const messages: Message[] = [];
    for (const item of decoded) {
        const parsed = messageSchema.safeParse(item);
        if (!parsed.success) {
            return Result.err(failure(transportCodes.protocolViolation, describe(parsed.error.issues[0])));
        }
        messages.push(parsed.data);
    }
    return Result.ok(messages);
}

function unpack(body: Buffer): unknown {
    try {
        return packr.unpack(body) as unknown;
    }
    catch {
        return undefined;
    }
}

function describe(issue: { path: PropertyKey[]; message: string; } | undefined): string {
    return `malformed message: ${issue?.path.join(".") ?? ""}: ${issue?.message ?? "unknown"}`;
}
