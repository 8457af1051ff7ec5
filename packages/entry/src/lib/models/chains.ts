import { type RoutedAttempt } from "@waxwingspar/policy";
import { type AgentAddress } from "../links/AgentLinks.js";

/**
 * Returns the chain with its head replaced by the runner of a claim, for a duplicate whose runner gets no new work from
 * the router. Joining a request that already runs there is not new work. If nothing runs there, the runner refuses the
 * request and the claim is moved.
 *
 * @internal
 */
export function rerouteToRunner(routed: RoutedAttempt, { target, host, port }: AgentAddress): RoutedAttempt {
    const stages = routed.stages.map((stage, index) => index === 0 ? { ...stage, target, host, port } : stage);
    return { stages, firstToken: () => undefined, token: () => undefined, end: () => undefined };
}

/** The target of a chain's first stage, or an empty string for an empty chain. @internal */
export function headOf(routed: RoutedAttempt): string {
    return routed.stages[0]?.target ?? "";
}
