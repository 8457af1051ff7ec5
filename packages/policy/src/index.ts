/**
 * Decision logic without I/O: routing, admission, fair scheduling, retry budgets and outlier ejection.
 *
 * @packageDocumentation
 */
export { createOrganisationLimits, type OrganisationLimitsOptions } from "./lib/admission/createOrganisationLimits.js";
export { createWorkQueue } from "./lib/admission/createWorkQueue.js";
export { type EntryPart, type LimitSpec, type OrganisationLimits } from "./lib/admission/OrganisationLimits.js";
export { type WorkItem, type WorkQueue } from "./lib/admission/WorkQueue.js";
export { type WorkQueueOptions } from "./lib/admission/WorkQueueOptions.js";
export { type HealthOptions } from "./lib/health/TargetHealth.js";
export { createRetryBudget, type RetryBudgetOptions } from "./lib/retry/createRetryBudget.js";
export { createRetryBudgets, type RetryBudgetsOptions } from "./lib/retry/createRetryBudgets.js";
export { type RetryBudget } from "./lib/retry/RetryBudget.js";
export { type RetryBudgets } from "./lib/retry/RetryBudgets.js";
export { createRouter } from "./lib/routing/createRouter.js";
export {
    type AttemptEnd,
    type RoutedAttempt,
    type Router,
    type RouteRequest,
    type RoutingTarget,
} from "./lib/routing/Router.js";
export { type RouterOptions } from "./lib/routing/RouterOptions.js";
