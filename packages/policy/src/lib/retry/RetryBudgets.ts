import { type RetryBudget } from "./RetryBudget.js";

/**
 * A separate retry budget for each organisation, so that no organisation can use up the budget of another.
 *
 * @public
 */
export interface RetryBudgets {
    /** Returns the budget of an organisation. Call this for each request, since an unused budget may be evicted. */
    of(organisation: string): RetryBudget;
}
