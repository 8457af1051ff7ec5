import { type SlotGrant, type SlotRefusal } from "./SlotRequest.js";

/** A head and the number of requests that it has room for, as this gateway knows it. */
export interface SlotHead {
    /** Incarnation of the target (`incarnationOf`). */
    readonly id: string;
    readonly room: number;
}

/** The heads of one service in one data centre. */
export interface SlotPool {
    readonly service: string;
    readonly dataCentre: string;
    /** In order of preference. */
    readonly heads: readonly SlotHead[];
}

/** A granted slot, which its user gives back. */
export interface HeldSlot extends SlotGrant {
    /** Must be called when the request no longer uses the head. Further calls have no effect. */
    readonly release: () => void;
}

/** What a gateway gets when it asks for a slot of a pool. */
export type SlotOutcome = HeldSlot | SlotRefusal;
