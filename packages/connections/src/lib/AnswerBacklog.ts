import { type Clock } from "@waxwingspar/utils";
import { type ServerResponse } from "node:http";
import { type Socket } from "node:net";
import { type Holding, type MemoryBudget } from "./MemoryBudget.js";

/** Options of {@link AnswerBacklog}. */
export interface AnswerBacklogOptions {
    readonly socket: Socket;
    readonly clock: Pick<Clock, "now">;
    readonly budget: MemoryBudget;
    readonly holding: Holding;
}

/** Bytes of answers that may wait for a client without being counted. */
const uncountedBytes = 16_384;

/** Counts the answers of a connection that wait to be written, and what its client takes of them. */
export class AnswerBacklog {
    private countedBytes = 0;
    /** Bytes that the operating system had taken when this was last looked at. */
    private taken = 0;
    /** Time on the clock at which that number last grew, or no answer waited. */
    private takenAt: number;

    constructor(private readonly options: AnswerBacklogOptions) {
        this.takenAt = options.clock.now();
    }

    /** @param open - The responses that have not ended. */
    update(open: Iterable<ServerResponse>): void {
        this.notePace();
        let waiting = 0;
        for (const response of open) {
            waiting += response.writableLength;
        }
        const { budget, holding } = this.options;
        const counted = Math.max(0, waiting - uncountedBytes);
        const change = counted - this.countedBytes;
        this.countedBytes = counted;
        if (change > 0) {
            budget.add(holding, change);
        }
        else if (change < 0) {
            budget.release(holding, -change);
        }
    }

    /** Whether the client has taken nothing of a waiting answer since a time on the clock. */
    isUnreadSince(time: number): boolean {
        return this.options.socket.writableLength > 0 && this.takenAt < time;
    }

    private notePace(): void {
        const { socket, holding, clock } = this.options;
        const taken = socket.bytesWritten - socket.writableLength;
        if (taken > this.taken || socket.writableLength === 0) {
            holding.move(taken - this.taken);
            this.taken = taken;
            this.takenAt = clock.now();
        }
    }
}
