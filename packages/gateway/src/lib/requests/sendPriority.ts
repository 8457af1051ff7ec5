import { type MechanismSwitch } from "../Mechanisms.js";
import { type CallerExchange } from "./CallerExchange.js";
import { type Precedence } from "./precedence.js";
import { resumedPriority } from "./resumedPriority.js";

/** Options of {@link sendPriority}. */
export interface SendPriorityOptions {
    readonly caller: Pick<CallerExchange, "organisation" | "request" | "route">;
    readonly precedence: Precedence;
    /** Whether this gateway has passed on a part of the answer. */
    readonly hasBegun: boolean;
    readonly isOn: MechanismSwitch;
}

/** The lowest priority number of new requests. Resumed streams have the numbers below it. */
const firstNewPriority = 2;
/** The largest priority number that targets accept. */
const lastPriority = 9;

/** Number of ranks of routes within one rank of organisations; less urgent priorities count as the last one. */
const routeRanks = 10;
/** Number of priorities that targets are told for each rank of organisations. */
const toldRouteRanks = 3;

/**
 * The urgency of a caller's request, where 0 is the most urgent: by the priority of its organisation, and among equal
 * ones by that of its route. The route's priority alone counts where the organisation has none.
 */
export function rankOf(caller: Pick<CallerExchange, "organisation" | "route">): number {
    const { ofOrganisation, ofRoute } = ranksOf(caller);
    return ofOrganisation * routeRanks + ofRoute;
}

function ranksOf({ organisation, route }: Pick<CallerExchange, "organisation" | "route">) {
    const bounded = (priority: number) => Math.min(routeRanks - 1, Math.max(0, Math.floor(priority)));
    const ofRoute = bounded(route.priority);
    return { ofOrganisation: bounded(organisation?.priority ?? ofRoute), ofRoute };
}

/**
 * Computes the priority that a target is told, from 0 for the most urgent: resumed streams before new requests, and
 * these by rank. Undefined for the default of the targets.
 */
export function sendPriority({ caller, precedence, hasBegun, isOn }: SendPriorityOptions): number | undefined {
    const ofResumed = resumedPriority(caller.request.tokens?.prompt ?? 0, isOn);
    if (!isOn("slot-admission")) {
        return hasBegun ? ofResumed : undefined;
    }
    return precedence === "running"
        ? Math.min(ofResumed, firstNewPriority) - 1
        : newPriority(caller);
}

function newPriority(caller: Pick<CallerExchange, "organisation" | "route">): number {
    const { ofOrganisation, ofRoute } = ranksOf(caller);
    const told = caller.organisation?.priority === undefined
        ? ofRoute
        : ofOrganisation * toldRouteRanks + Math.min(ofRoute, toldRouteRanks - 1);
    return Math.min(lastPriority, firstNewPriority + told);
}
