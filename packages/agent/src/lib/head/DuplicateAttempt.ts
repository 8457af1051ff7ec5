import { type Attempt } from "../AgentContext.js";
import { type EntryStream } from "./EntryStream.js";

/**
 * A duplicate of a claimed request: streams the answer of the original, which is running or complete, and runs nothing.
 *
 * @internal
 */
export class DuplicateAttempt implements Attempt {
    readonly uses = undefined;

    constructor(readonly epoch: number, private readonly stream: EntryStream) {}

    get active(): boolean {
        return !this.stream.closed;
    }

    credit(upTo: number): void {
        this.stream.credit(upTo);
    }

    cancel(): void {
        this.stream.drop();
    }

    supersede(): void {
        this.stream.drop();
    }

    abandon(): void {
        this.stream.drop();
    }

    handOver(): void {
        // It ends when the followed request ends.
    }
}
