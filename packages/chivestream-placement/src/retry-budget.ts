/** Caps retries to a share of first attempts, for each team and upstream. */

/** Retries that may still be made; grows with first attempts. */
export type RetryBudget = {
	tokens: number;
};

const largestBudget = 100;
const initialBudget = 10;

/** A budget that allows a few retries before the first attempts are counted. */
export const createRetryBudget = (): RetryBudget => ({tokens: initialBudget});

/** Adds what a first attempt earns. */
export const earnRetry = (budget: RetryBudget, retryRatio: number): void => {
	budget.tokens = Math.min(largestBudget, budget.tokens + retryRatio);
};

/** Whether a retry fits into the budget; takes it out if so. */
export const spendRetry = (budget: RetryBudget): boolean => {
	if (budget.tokens < 1) {
		return false;
	}

	budget.tokens--;
	return true;
};
