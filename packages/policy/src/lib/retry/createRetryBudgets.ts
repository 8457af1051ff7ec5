import { createRetryBudget, type RetryBudgetOptions } from "./createRetryBudget.js";
import { type RetryBudget } from "./RetryBudget.js";
import { type RetryBudgets } from "./RetryBudgets.js";

/**
 * Options of {@link createRetryBudgets}. The options of a single budget apply to each.
 *
 * @public
 */
export interface RetryBudgetsOptions extends RetryBudgetOptions {
    /** Maximum number of budgets; beyond it the least recently used one is evicted. Default 1024. */
    readonly maxOrganisations?: number;
}

class BoundedBudgets implements RetryBudgets {
    /** Ordered by last use, least recent first. */
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
 * Creates the retry budgets of one process. An organisation whose budget was evicted starts again with a full one.
 *
 * @public
 */
export function createRetryBudgets({ maxOrganisations = 1024, ...options }: RetryBudgetsOptions): RetryBudgets {
    return new BoundedBudgets(options, maxOrganisations);
}
