import { type Router } from "@waxwingspar/policy";
import { type Link, type LoadReport, type Message } from "@waxwingspar/transport";

/**
 * What a request does with messages of its agent.
 *
 * @internal
 */
export interface LinkHandler {
    onMessage(message: Message, link: AgentLink): void;
    /** The link closed: whatever was in progress on it has an unknown outcome. */
    onLost(link: AgentLink): void;
}

/**
 * A link that closed.
 *
 * @internal
 */
export interface ClosedLink {
    /** The targets behind it. */
    readonly targets: readonly string[];
    /** How many requests were in progress on it. */
    readonly open: number;
    /** True when the agent had told before that it leaves. */
    readonly announced: boolean;
}

/** @internal */
export type LinkClosed = (link: ClosedLink) => void;

/**
 * One open link to an agent, shared by all requests that this agent serves.
 *
 * @internal
 */
export class AgentLink {
    /** Names of the targets that were reached over this link; one, unless a target was renamed. */
    readonly targets = new Set<string>();
    private readonly handlers = new Map<string, LinkHandler>();
    private leaving = false;

    constructor(
        private readonly link: Link,
        private readonly router: Router,
        private readonly closed: LinkClosed,
    ) {
        link.onMessage(message => this.dispatch(message));
        link.onClose(() => this.lose());
    }

    get open(): boolean {
        return this.link.open;
    }

    /** The incarnation of the agent, from its hello. */
    get incarnation(): string {
        return this.link.peer.incarnation;
    }

    /** Hands messages of a request to a handler from now on. */
    attach(request: string, handler: LinkHandler): void {
        this.handlers.set(request, handler);
    }

    /** Drops messages of a request from now on. */
    detach(request: string): void {
        this.handlers.delete(request);
    }

    send(message: Message): void {
        this.link.send(message);
    }

    private dispatch(message: Message): void {
        const load = loadOf(message);
        if (load !== undefined) {
            this.leaving = load.leaving;
            this.router.report(load);
        }
        if ("request" in message) {
            this.handlers.get(message.request)?.onMessage(message, this);
        }
    }

    private lose(): void {
        for (const target of this.targets) {
            this.router.unreachable(target);
        }
        const handlers = [...this.handlers.values()];
        this.closed({ targets: [...this.targets], open: handlers.length, announced: this.leaving });
        this.handlers.clear();
        for (const handler of handlers) {
            handler.onLost(this);
        }
    }
}

function loadOf(message: Message): LoadReport | undefined {
    return "load" in message ? message.load : undefined;
}
