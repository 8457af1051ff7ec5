/**
 * Pure decision modules: routing, admission, fair shares, retries, ejection.
 *
 * @packageDocumentation
 */
export { type WorkItem, type WorkQueue } from "./lib/admission/WorkQueue.js";
export { type RetryBudget } from "./lib/retry/RetryBudget.js";
export {
    type AttemptEnd,
    type RoutedAttempt,
    type Router,
    type RouteRequest,
    type RoutingTarget,
} from "./lib/routing/Router.js";
