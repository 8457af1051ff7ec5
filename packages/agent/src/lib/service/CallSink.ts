import { type ReplyHeaders } from "@waxwingspar/transport";
import { type Failure } from "@waxwingspar/utils";
import { type ClaimRecord } from "../claims/ClaimRecord.js";
import { type ClaimTable } from "../claims/ClaimTable.js";

/** A part of a plain service's answer. @internal */
export type CallItem =
    | { readonly kind: "head"; readonly status: number; readonly headers: ReplyHeaders; }
    | { readonly kind: "body"; readonly data: Uint8Array<ArrayBuffer>; };

/** The end of a complete answer. @internal */
export type CallEnd = "whole";

/** The claims of plain calls. @internal */
export type CallClaims = ClaimTable<CallItem, CallEnd>;

/** @internal */
export type CallRecord = ClaimRecord<CallItem, CallEnd>;

/** Receives the answer of one call. @internal */
export interface CallSink {
    /** Bytes that are queued for sending. */
    readonly queuedBytes: number;
    /** False while no more of the answer should be read, since the credit for it is used up. */
    readonly ready: boolean;
    /** Sets a handler that is called when `ready` may have changed. */
    onReady(handler: () => void): void;
    item(item: CallItem): void;
    end(): void;
    failed(reason: Failure): void;
}
