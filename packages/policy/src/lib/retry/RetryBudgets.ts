import { type RetryBudget } from "./RetryBudget.js";

/**
 * One retry budget for each organisation, so that none spends another's.
 *
 * @public
 */
export interface RetryBudgets {
    /** The budget of an organisation. Ask for it at each request and do not keep it longer. */
    of(organisation: string): RetryBudget;
}
