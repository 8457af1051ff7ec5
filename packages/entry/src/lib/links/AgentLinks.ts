import { type Router } from "@waxwingspar/policy";
import { type Address, type Link, type LinkPool } from "@waxwingspar/transport";
import { failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { AgentLink, type ClosedLinkHandler } from "./AgentLink.js";

/**
 * The address of an agent and the name of its target.
 *
 * @internal
 */
export interface AgentAddress extends Address {
    readonly target: string;
}

/** @internal */
export interface AgentLinksOptions {
    readonly links: LinkPool;
    readonly router: Router;
    /** Called when a link has closed. */
    readonly onClosed?: ClosedLinkHandler;
}

/**
 * The entry's links to agents. Passes each message to its request, and reports load and lost links to the router.
 *
 * @internal
 */
export class AgentLinks {
    private readonly pool: LinkPool;
    private readonly router: Router;
    private readonly onClosed: ClosedLinkHandler;
    private readonly agents = new Map<Link, AgentLink>();

    constructor({ links, router, onClosed = () => undefined }: AgentLinksOptions) {
        this.onClosed = onClosed;
        this.pool = links;
        this.router = router;
        links.onOpen(link => this.wrap(link));
    }

    /** Returns the link to an agent, opening it if necessary. A failure proves that nothing was sent. */
    async connect(agent: AgentAddress): Promise<Outcome<AgentLink>> {
        const open = this.pool.current(agent);
        const connected = open !== undefined ? Result.ok<Link, never>(open) : await this.pool.connect(agent);
        if (connected.isErr) {
            this.router.unreachable(agent.target);
            return Result.err(connected.error);
        }
        const link = this.agents.get(connected.value) ?? this.wrap(connected.value);
        if (!link.open) {
            return Result.err(failure(transportCodes.notConnected, "the link closed before anything was sent"));
        }
        link.targets.add(agent.target);
        return Result.ok(link);
    }

    private wrap(link: Link): AgentLink {
        const known = this.agents.get(link);
        if (known !== undefined) {
            return known;
        }
        const agent = new AgentLink(link, this.router, this.onClosed);
        this.agents.set(link, agent);
        link.onClose(() => this.agents.delete(link));
        return agent;
    }
}
