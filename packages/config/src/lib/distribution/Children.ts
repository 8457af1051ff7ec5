import { type Link } from "@waxwingspar/transport";
import { type Clock } from "@waxwingspar/utils";
import { type SinceParams } from "./messages.js";

/** Milliseconds without a request after which a child is assumed to be lost or to have another parent. */
const childLifetime = 4000;

/** The part of a link that requests to a child need. @internal */
export type ChildLink = Pick<Link, "request" | "peer">;

/** A process that fetches changes from this one. @internal */
export interface Child {
    readonly process: string;
    /** The revision in force in the child at its last request. */
    readonly revision: number;
    readonly children: number;
    readonly acknowledgedAt: number;
    readonly link: ChildLink;
}

/**
 * The processes that fetch changes from this one, and the revisions that they last acknowledged.
 *
 * @internal
 */
export class Children {
    private readonly known = new Map<string, Child>();

    constructor(private readonly clock: Clock, private readonly limit: number) {}

    /** The number of children with a recent request. */
    get count(): number {
        this.removeExpired();
        return this.known.size;
    }

    /** Records an acknowledgement. Returns false if the process would exceed the limit on children. */
    acknowledge(params: SinceParams, link: ChildLink): boolean {
        this.removeExpired();
        const { process } = link.peer;
        if (!this.known.has(process) && this.known.size >= this.limit) {
            return false;
        }
        const { revision, children } = params;
        this.known.set(process, { process, revision, children, acknowledgedAt: this.clock.now(), link });
        return true;
    }

    list(): Child[] {
        this.removeExpired();
        return [...this.known.values()];
    }

    private removeExpired(): void {
        const oldest = this.clock.now() - childLifetime;
        for (const child of this.known.values()) {
            if (child.acknowledgedAt < oldest) {
                this.known.delete(child.process);
            }
        }
    }
}
