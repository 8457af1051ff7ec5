import { type Router } from "@waxwingspar/policy";
import { type Address, type Link, type LinkPool } from "@waxwingspar/transport";
import { failure, type Outcome, transportCodes } from "@waxwingspar/utils";
import { Result } from "true-myth";
import { AgentLink, type LinkClosed } from "./AgentLink.js";

/**
 * An agent, by the name of its target and where it listens.
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
    /** Runs when a link closed. */
    readonly onClosed?: LinkClosed;
}

/**
 * The entry's links to agents: hands each message to the request it belongs to, and tells the router about load and
 * losses.
 *
 * @internal
 */
export class AgentLinks {
    private readonly pool: LinkPool;
    private readonly router: Router;
    private readonly onClosed: LinkClosed;
    private readonly agents = new Map<Link, AgentLink>();

    constructor({ links, router, onClosed = () => undefined }: AgentLinksOptions) {
        this.onClosed = onClosed;
        this.pool = links;
        this.router = router;
        links.onOpen(link => this.adopt(link));
    }

    /** Returns the link to an agent, opening it if need be. A failure proves that nothing was sent. */
    async connect(agent: AgentAddress): Promise<Outcome<AgentLink>> {
        const open = this.pool.current(agent);
        const connected = open !== undefined ? Result.ok<Link, never>(open) : await this.pool.connect(agent);
        if (connected.isErr) {
            this.router.unreachable(agent.target);
            return Result.err(connected.error);
        }
        const link = this.agents.get(connected.value) ?? this.adopt(connected.value);
        if (!link.open) {
            return Result.err(failure(transportCodes.notConnected, "the link closed before anything was sent"));
        }
        link.targets.add(agent.target);
        return Result.ok(link);
    }

    private adopt(link: Link): AgentLink {
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
