import { type Observation } from "../observation/Observation.js";
import { type SlotDecision, type SlotRequest } from "./SlotRequest.js";

/** What a decision on a slot was based on. */
export interface SlotDecisionInputs {
    /** Who decided: this gateway without asking, this gateway as the issuer, another issuer, or this one in its place. */
    readonly decidedBy: "quota" | "issuer" | "reply" | "silence";
    /** Requests on the heads, as far as known. */
    readonly load?: number;
    /** Room of the heads. */
    readonly room?: number;
    /** Age of the load in milliseconds. */
    readonly loadAge?: number;
    /** Number of requests that waited for the same heads. */
    readonly waiting?: number;
    /** Slots that became free per second; undefined while unknown. */
    readonly freedPerSecond?: number;
}

/** Ranks from this one on share a label, so that settings cannot make any number of series. */
const highestRankLabel = 99;

/**
 * Counts the decisions on slots, and logs each request that was held, refused, or decided without the issuer. Below
 * capacity, all requests are granted at once and nothing is logged. A request that only looks for a free slot is not
 * refused by that: another pool decides on it.
 */
export class SlotObservation {
    constructor(private readonly observation: Observation) {}

    record(request: SlotRequest, decision: SlotDecision, inputs: SlotDecisionInputs): void {
        if (decision.kind === "refused" && request.maxHold <= 0) {
            return;
        }
        const { metrics } = this.observation;
        const rank = Math.min(highestRankLabel, request.rank);
        if (decision.kind === "granted") {
            metrics.slotsGranted.add({ rank });
        }
        else {
            metrics.slotsRefused.add({ reason: decision.reason, rank });
        }
        const isHeld = decision.held > 0;
        if (isHeld) {
            metrics.slotsHeld.add({ rank, decision: decision.kind });
            metrics.slotHoldTime.record(decision.held, { decision: decision.kind });
        }
        if (isHeld || decision.kind === "refused" || inputs.decidedBy === "silence") {
            this.log(request, decision, inputs);
        }
    }

    private log(request: SlotRequest, decision: SlotDecision, inputs: SlotDecisionInputs): void {
        const { id, rank, organisation, kind, precedence, heads } = request;
        const isRefused = decision.kind === "refused";
        this.observation.logs.limits.info(
            {
                request: id,
                rank,
                organisation,
                route: kind,
                precedence,
                heads: heads.length,
                head: isRefused ? undefined : decision.head,
                reason: isRefused ? decision.reason : undefined,
                retryAfter: isRefused ? Math.round(decision.retryAfter) : undefined,
                held: Math.round(decision.held),
                maxHold: Math.round(request.maxHold),
                timeLeft: Math.round(request.timeLeft),
                ...inputs,
            },
            isRefused
                ? "slot refused"
                : decision.held > 0
                ? "slot granted after a hold"
                : "slot granted without its issuer",
        );
    }
}
