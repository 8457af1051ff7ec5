import { type IncomingMessage, validateHeaderName, validateHeaderValue } from "node:http";

/** The part of a reply's head that is passed on to callers. @public */
export type ReplyHeadMessage = Pick<IncomingMessage, "statusCode" | "rawHeaders">;

/** Statuses of final replies in HTTP. Those below are interim ones or none at all. */
const finalStatuses = { first: 200, last: 599 };

/**
 * Finds what makes a reply's head impossible to pass on. The parser and the writer of Node.js check heads by different
 * rules, which also differ between versions, so a head that was parsed may be one that cannot be written.
 *
 * @returns Undefined if status, names and values are those of a final reply in HTTP/1.1.
 * @public
 */
export function findHeadFault({ statusCode = 0, rawHeaders }: ReplyHeadMessage): string | undefined {
    if (!Number.isInteger(statusCode) || statusCode < finalStatuses.first || statusCode > finalStatuses.last) {
        return `status ${statusCode} is not that of a final reply`;
    }
    for (let i = 0; i + 1 < rawHeaders.length; i += 2) {
        const name = rawHeaders[i] ?? "";
        const value = rawHeaders[i + 1] ?? "";
        if (!isWritable(name, value)) {
            return `header ${JSON.stringify(name)} is invalid`;
        }
        if (name.toLowerCase() === "transfer-encoding" && value.trim().toLowerCase() !== "chunked") {
            return `transfer coding ${JSON.stringify(value)} is not supported`;
        }
    }
    return undefined;
}

function isWritable(name: string, value: string): boolean {
    try {
        validateHeaderName(name);
        validateHeaderValue(name, value);
        return true;
    }
    catch {
        return false;
    }
}
