/** Caps retries to a share of first attempts, for each team and upstream. */

/** Retries that may still be made; grows with first attempts. */
export type RetryBudget = {
	tokens: number;
};

const maxTokens = 100;
const initialTokens = 10;

/** A budget that allows a few retries before the first attempts are counted. */
export const createRetryBudget = (): RetryBudget => ({tokens: initialTokens});

/** Adds what a first attempt earns. */
export const creditFirstAttempt = (budget: RetryBudget, retryRatio: number): void => {
	budget.tokens = Math.min(maxTokens, budget.tokens + retryRatio);
};

/** Whether a retry fits into the budget; takes it out if so. */
export const tryConsumeRetry = (budget: RetryBudget): boolean => {
	if (budget.tokens < 1) {
		return false;
	}

	budget.tokens--;
	return true;
};
