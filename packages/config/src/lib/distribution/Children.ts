import { type Link } from "@waxwingspar/transport";
import { type Clock } from "@waxwingspar/utils";
import { type SinceParams } from "./messages.js";

/** A child that has not asked for so long, in milliseconds, learns elsewhere or is lost. */
const rememberedFor = 4000;

/** The part of a link that questions to a child need. @internal */
export type ChildLink = Pick<Link, "request" | "peer">;

/** A process that learns from this one. @internal */
export interface Child {
    readonly process: string;
    /** The revision in force there when it last asked. */
    readonly revision: number;
    readonly children: number;
    readonly heardAt: number;
    readonly link: ChildLink;
}

/**
 * The processes that learn from this one, and what they last acknowledged.
 *
 * @internal
 */
export class Children {
    private readonly known = new Map<string, Child>();

    constructor(private readonly clock: Clock, private readonly limit: number) {}

    /** How many asked lately. */
    get count(): number {
        this.forget();
        return this.known.size;
    }

    /** Takes an acknowledgement. Returns false when there is no room for another child. */
    heard(params: SinceParams, link: ChildLink): boolean {
        this.forget();
        const { process } = link.peer;
        if (!this.known.has(process) && this.known.size >= this.limit) {
            return false;
        }
        const { revision, children } = params;
        this.known.set(process, { process, revision, children, heardAt: this.clock.now(), link });
        return true;
    }

    list(): Child[] {
        this.forget();
        return [...this.known.values()];
    }

    private forget(): void {
        const oldest = this.clock.now() - rememberedFor;
        for (const child of this.known.values()) {
            if (child.heardAt < oldest) {
                this.known.delete(child.process);
            }
        }
    }
}
