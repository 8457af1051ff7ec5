/** One start of a gateway process. */
export interface GatewayIncarnation {
    readonly gateway: string;
    readonly number: number;
    /** Periods in which it was disturbed, with the time after them until it counts as in touch again. */
    readonly disturbances: { readonly from: number; until: number; }[];
    /** Periods in which its link to the store was cut or silent. */
    readonly storeCuts: { readonly from: number; readonly until: number; }[];
    /** Periods in which it had a part of a processor only, and how many times longer its work took. */
    readonly starvations: { readonly from: number; until: number; readonly slowness: number; }[];
    /** When it was told to stop; undefined if it was not. */
    stoppingSince?: number;
    /** Whether it was killed or paused, so that its callers may lose answers. */
    wasCutOff: boolean;
}

/** What a target did with a request. */
export type RunEnd = "served" | "failed" | "refused" | "brokenOff";

/** A request as it reached a target. */
export interface SoakRun {
    readonly requestId: string;
    readonly target: string;
    readonly at: number;
    /** Undefined if its process has been replaced since. */
    readonly sender: GatewayIncarnation | undefined;
    readonly end: RunEnd;
    /** Whether it crashed its target. */
    readonly isDeadly?: boolean;
    /** Milliseconds that the target works on it, where they are more than usual. */
    readonly duration?: number;
}

/** The kinds of route that callers use. */
export type SoakKind = "idempotent" | "once" | "stream";

/** A request of a caller, and its answer. */
export interface SoakCall {
    readonly requestId: string;
    readonly kind: SoakKind;
    readonly gateway: GatewayIncarnation;
    readonly sentAt: number;
    /** When the request before it on its connection was sent. */
    readonly previousAt?: number;
    /** When its last byte was handed to the operating system; undefined if that never happened. */
    readonly writtenAt?: number;
    /** When its connection ended; undefined if it outlasted the call. */
    readonly closedAt?: number;
    /** Whether it was sent ahead, and the answer to a request before it on its connection broke off. */
    readonly isBehindBroken?: boolean;
    /** When its caller closed the connection because it had no answer. */
    readonly leftAt?: number;
    readonly expectedBody: string;
    /** 0 if there was no answer. */
    readonly status: number;
    readonly body: string;
    readonly isComplete: boolean;
}

/** A target that leaves, and when the store accepted that. */
export interface Departure {
    readonly target: string;
    readonly at: number;
}

/** A refusal in which a target asked a gateway for rest. */
export interface SoakRest {
    readonly target: string;
    readonly sender: GatewayIncarnation;
    readonly at: number;
    readonly until: number;
}

/** A time in which the link between all gateways and a target was cut or silent. */
export interface LinkFaultPeriod {
    readonly target: string;
    readonly from: number;
    readonly until: number;
}

/** The first reply in which a target told a gateway that it leaves. */
export interface ToldLeaving {
    readonly target: string;
    readonly sender: GatewayIncarnation;
    readonly at: number;
}

/** Everything that callers and targets saw, on the clock of the driver. */
export class SoakLog {
    readonly calls: SoakCall[] = [];
    readonly runs: SoakRun[] = [];
    readonly departures: Departure[] = [];
    /** Times in which the link to a target was cut or silent. */
    readonly linkFaults: LinkFaultPeriod[] = [];
    readonly rests: SoakRest[] = [];
    /** Times at which targets crashed under a deadly part. */
    readonly crashes: number[] = [];
    readonly toldLeaving: ToldLeaving[] = [];
    /** Headers of targets that a gateway logged as unknown. */
    readonly unknownHeaders: string[] = [];
    readonly storeFaults: { readonly from: number; readonly until: number; }[] = [];
    /** Faults of processes that are known without comparing calls and runs. */
    readonly processFaults: string[] = [];
    /** Gateways that did not serve by the newest configuration in the end. */
    readonly outdated: string[] = [];
    /** Disturbances in their order, for the report. */
    readonly events: string[] = [];
    /** Longest time in milliseconds by which the driver itself stood still. */
    longestStall = 0;

    /** Times in which it did. */
    readonly stalls: { readonly from: number; readonly until: number; }[] = [];

    constructor(readonly startedAt: number) {}

    /** Records a disturbance. */
    event(at: number, text: string): void {
        this.events.push(`${((at - this.startedAt) / 1_000).toFixed(2)} s ${text}`);
    }
}
