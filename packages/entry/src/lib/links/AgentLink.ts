import { type Router } from "@waxwingspar/policy";
import { type Link, type LoadReport, type Message } from "@waxwingspar/transport";

/**
 * Handles the agent's messages for one request.
 *
 * @internal
 */
export interface LinkHandler {
    onMessage(message: Message, link: AgentLink): void;
    /** Called when the link has closed: the outcome of work in progress on it is unknown. */
    onLost(link: AgentLink): void;
}

/**
 * Details of a closed link.
 *
 * @internal
 */
export interface ClosedLink {
    /** Names of the targets that were reached over it. */
    readonly targets: readonly string[];
    /** Number of requests that were in progress on it. */
    readonly open: number;
    /** True if the agent had announced before that it was leaving. */
    readonly announced: boolean;
}

/** @internal */
export type ClosedLinkHandler = (link: ClosedLink) => void;

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
        private readonly onClosed: ClosedLinkHandler,
    ) {
        link.onMessage(message => this.dispatch(message));
        link.onClose(() => this.handleClose());
    }

    get open(): boolean {
        return this.link.open;
    }

    /** The incarnation of the agent, from its hello. */
    get incarnation(): string {
        return this.link.peer.incarnation;
    }

    /** Registers the handler for messages of a request. */
    attach(request: string, handler: LinkHandler): void {
        this.handlers.set(request, handler);
    }

    /** Removes the handler of a request; further messages of the request are dropped. */
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

    private handleClose(): void {
        for (const target of this.targets) {
            this.router.unreachable(target);
        }
        const handlers = [...this.handlers.values()];
        this.onClosed({ targets: [...this.targets], open: handlers.length, announced: this.leaving });
        this.handlers.clear();
        for (const handler of handlers) {
            handler.onLost(this);
        }
    }
}

function loadOf(message: Message): LoadReport | undefined {
    return "load" in message ? message.load : undefined;
}
