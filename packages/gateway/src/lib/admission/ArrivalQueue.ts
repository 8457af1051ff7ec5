import { type Clock, type Timer } from "@waxwingspar/utils";
import { type SlotDecision, type SlotRequest } from "./SlotRequest.js";

interface WaitingRequest {
    readonly request: SlotRequest;
    readonly offeredAt: number;
    readonly timer: Timer;
    readonly onDecision: (decision: SlotDecision) => void;
}

/** Grants slots in the order of arrival; stands in for the queue by rank and organisation until that is merged. */
export class ArrivalQueue {
    private freed = 0;
    private readonly line = new Map<string, WaitingRequest>();

    constructor(private readonly options: { readonly clock: Clock; readonly freeSlots: (head: string) => number; }) {}

    offer(request: SlotRequest, onDecision: (decision: SlotDecision) => void): void {
        const { clock } = this.options;
        const offeredAt = clock.now();
        const timer = clock.schedule(() => this.refuse(request.id), request.maxHold);
        this.line.set(request.id, { request, offeredAt, timer, onDecision });
        this.update();
    }

    cancel(id: string): void {
        this.line.get(id)?.timer.cancel();
        this.line.delete(id);
    }

    update(): void {
        for (const [id, { request, offeredAt, timer, onDecision }] of this.line) {
            const head = request.heads.find(candidate => this.options.freeSlots(candidate) >= 1);
            if (head !== undefined) {
                this.line.delete(id);
                timer.cancel();
                onDecision({ kind: "granted", head, held: this.options.clock.now() - offeredAt });
            }
        }
    }

    noteFreed(count: number): void {
        this.freed += count;
    }

    get waiting(): number {
        return this.line.size;
    }

    private refuse(id: string): void {
        const waiting = this.line.get(id);
        this.line.delete(id);
        const { clock } = this.options;
        waiting?.onDecision({
            kind: "refused",
            reason: "full",
            retryAfter: Math.min(500, waiting.request.timeLeft / 3),
            held: clock.now() - waiting.offeredAt,
        });
    }
}
