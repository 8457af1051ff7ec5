import { type Attempt } from "../AgentContext.js";
import { type EntryStream } from "./EntryStream.js";

/**
 * A duplicate of a claimed request: gets the answer of the one that runs or ran, and runs nothing itself.
 *
 * @internal
 */
export class FollowAttempt implements Attempt {
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
        // It ends together with the request that it follows.
    }
}
