import { ReplyWatch } from "@waxwingspar/connections";
import { ByteAccumulator, type Clock } from "@waxwingspar/utils";
import { request } from "node:http";
import { ReplyLimit } from "../store/ReplyLimit.js";
import { type CopyReply } from "./CopyReader.js";
import { askerHeader, copyPath } from "./CopyServer.js";

/** Options of {@link createCopyFetch}. */
export interface CopyFetchOptions {
    readonly clock: Clock;
    /** Address of this gateway. */
    readonly own: string;
}

/** Milliseconds until a peer's reply must have begun. A peer that is slower is no gain over the store. */
const beginTime = 500;
/** Milliseconds that a reply may bring nothing. */
const stallTime = 500;
/** Largest copy in bytes, compressed. */
const maxBytes = 33_554_432;
const status = { ok: 200, busy: 503 };

/** Creates the function that asks a peer for its copy of a table. */
export function createCopyFetch(
    { clock, own }: CopyFetchOptions,
): (address: string, table: string) => Promise<CopyReply> {
    const fetch = (address: string, table: string) =>
        new Promise<CopyReply>(resolve => {
            const sentAt = clock.now();
            const copy = new ByteAccumulator();
            let headAfter: number | undefined;
            let watch: ReplyWatch | undefined;
            const measure = () => ({ bytes: copy.length, headAfter, duration: clock.now() - sentAt });
            const colon = address.lastIndexOf(":");
            const call = request({
                host: address.slice(0, colon),
                port: Number(address.slice(colon + 1)),
                path: copyPath(table),
                headers: { [askerHeader]: own },
                agent: false,
            });
            const finish = (reply: CopyReply) => {
                limit.cancel();
                resolve(reply);
                call.destroy();
            };
            const fail = (reason: string) => finish({ kind: "failed", reason, progress: measure() });
            const limit = new ReplyLimit({
                clock,
                begin: beginTime,
                stall: stallTime,
                onExpired: () => fail("timeout"),
                afterInput: setImmediate,
            });
            call.once("error", (error: NodeJS.ErrnoException) => fail(error.code ?? error.message));
            call.once("close", () => fail("closed"));
            call.once("socket", socket => watch = new ReplyWatch({ socket }));
            call.once("response", response => {
                if (watch?.hasHead !== true) {
                    fail("head cut");
                    return;
                }
                headAfter = clock.now() - sentAt;
                response.on("data", (chunk: Buffer) => {
                    copy.add(chunk);
                    limit.receive(chunk.length);
                    if (copy.length > maxBytes) {
                        fail("too large");
                    }
                });
                response.once("close", () => fail("closed"));
                response.once("end", () => {
                    const progress = measure();
                    const body = copy.take();
                    if (!response.complete || watch?.isWhole !== true) {
                        fail("truncated");
                    }
                    else if (response.statusCode === status.ok) {
                        finish({ kind: "copy", bytes: body, progress });
                    }
                    else if (response.statusCode === status.busy) {
                        finish({ kind: "busy", holders: readHolders(body) });
                    }
                    else {
                        fail(`status ${response.statusCode ?? 0}`);
                    }
                });
            });
            call.end();
        });
    // An address that a peer names may be none, for which the call cannot be made.
    return (address, table) =>
        fetch(address, table).catch((error: unknown) => ({ kind: "failed", reason: String(error) }));
}

function readHolders(body: Buffer): string[] {
    try {
        const holders: unknown = JSON.parse(body.toString("utf8"));
        return Array.isArray(holders) ? holders.filter(holder => typeof holder === "string") : [];
    }
    catch {
        return [];
    }
}
