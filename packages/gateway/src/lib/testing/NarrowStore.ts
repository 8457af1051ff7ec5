import { type Clock } from "@waxwingspar/utils";
import { ReplyLimit } from "../store/ReplyLimit.js";
import {
    type ConditionalWrite,
    type ReadOptions,
    replyStall,
    type Store,
    type StoredRow,
    type StoreFailure,
    watchSlack,
    type WriteResult,
} from "../store/Store.js";
import { type SimulatedLink, type SimulatedLinks } from "./SimulatedLinks.js";
import { type SimulatedStore } from "./SimulatedStore.js";

/** Options of {@link NarrowStore}. */
export interface NarrowStoreOptions {
    readonly clock: Clock;
    readonly table: SimulatedStore;
    readonly links: SimulatedLinks;
    readonly link: SimulatedLink;
    readonly sizeOf: (row: StoredRow) => number;
    /** Milliseconds by which each answer of the store is late. */
    readonly delay: () => number;
    /** Whether the store turns this gateway's calls away. */
    readonly isRefused: () => boolean;
    /** Called when the store begins to send rows. */
    readonly onRows?: (rows: readonly StoredRow[]) => void;
}

/** Milliseconds for a read, as {@link watchSlack} is for a call that waits. */
const readLimit = 1_000;
const headBytes = 200;

/** A simulated store whose replies take time on the link of the gateway that reads them. */
export class NarrowStore implements Store {
    constructor(private readonly options: NarrowStoreOptions) {}

    read(_table: string, options?: ReadOptions): ReturnType<Store["read"]> {
        return this.call(readLimit, () => this.options.table.read(), ({ rows }) => rows, options);
    }

    watch(table: string, after: number, wait: number, options?: ReadOptions): ReturnType<Store["watch"]> {
        return this.call(
            wait + watchSlack,
            () => this.options.table.watch(table, after, wait),
            ({ changes }) => changes.flatMap(({ row }) => row ?? []),
            options,
        );
    }

    write(change: ConditionalWrite): Promise<WriteResult> {
        return this.options.table.write(change);
    }

    private call<T extends { readonly kind: string; }>(
        limit: number,
        send: () => Promise<T | StoreFailure>,
        rowsOf: (reply: T) => readonly StoredRow[],
        { maxBytes = Infinity, onBegin }: ReadOptions = {},
    ): Promise<T | StoreFailure> {
        const { clock, links, link, sizeOf, delay, isRefused, onRows } = this.options;
        if (isRefused()) {
            return Promise.resolve({ kind: "unavailable", reason: "status 503" });
        }
        return new Promise(resolve => {
            let stop: () => void = () => undefined;
            const replyLimit = new ReplyLimit({
                clock,
                begin: limit,
                stall: replyStall,
                onExpired: () => {
                    stop();
                    resolve({ kind: "unknown", reason: "timeout" });
                },
            });
            const finish = (reply: T | StoreFailure) => {
                replyLimit.cancel();
                resolve(reply);
            };
            void send().then(reply => {
                if (reply.kind === "unknown") {
                    return;
                }
                const rows = isFailure(reply) ? [] : rowsOf(reply);
                const bytes = rows.reduce((sum, row) => sum + sizeOf(row), headBytes);
                const sentAt = clock.now();
                clock.schedule(() => {
                    if (bytes > maxBytes) {
                        finish({ kind: "historyTooLong" });
                        return;
                    }
                    onRows?.(rows);
                    onBegin?.();
                    stop = links.start({
                        link,
                        bytes,
                        onProgress: received => replyLimit.receive(received),
                        onEnd: () => {
                            const progress = { bytes, headAfter: 0, duration: clock.now() - sentAt };
                            finish({ ...reply, progress });
                        },
                    });
                }, delay());
            });
        });
    }
}

function isFailure<T extends { readonly kind: string; }>(reply: T | StoreFailure): reply is StoreFailure {
    return ["unavailable", "unknown", "historyGone", "historyTooLong"].includes(reply.kind);
}
