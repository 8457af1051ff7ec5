import { createRetryBudget, type RetryBudgetOptions } from "./createRetryBudget.js";
import { type RetryBudget } from "./RetryBudget.js";
import { type RetryBudgets } from "./RetryBudgets.js";

/**
 * Options of {@link createRetryBudgets}; those of a budget hold for each.
 *
 * @public
 */
export interface RetryBudgetsOptions extends RetryBudgetOptions {
    /** Budgets that are kept; beyond it the one least recently used is dropped. Default 1024. */
    readonly maxOrganisations?: number;
}

class BoundedBudgets implements RetryBudgets {
    /** In the order of their last use. */
    private readonly budgets = new Map<string, RetryBudget>();

    constructor(private readonly options: RetryBudgetOptions, private readonly maxOrganisations: number) {}

    of(organisation: string): RetryBudget {
        const budget = this.budgets.get(organisation) ?? createRetryBudget(this.options);
        this.budgets.delete(organisation);
        this.budgets.set(organisation, budget);
        if (this.budgets.size > this.maxOrganisations) {
            const [oldest = organisation] = this.budgets.keys();
            this.budgets.delete(oldest);
        }
        return budget;
    }
}

/**
 * Creates the retry budgets of one process. An organisation that was dropped starts with a full budget when it comes back.
 *
 * @public
 */
export function createRetryBudgets({ maxOrganisations = 1024, ...options }: RetryBudgetsOptions): RetryBudgets {
    return new BoundedBudgets(options, maxOrganisations);
}
