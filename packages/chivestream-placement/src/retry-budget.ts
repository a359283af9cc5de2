/** Limits retries to a share of the first attempts, for each team and upstream. */

/** Token bucket of retries. */
export type RetryBudget = {
	/** Each first attempt adds a fraction of a token; each retry takes one. */
	tokens: number;
};

const maxTokens = 100;
const initialTokens = 10;

/** Creates a budget that allows 10 retries before any first attempt. */
export const createRetryBudget = (): RetryBudget => ({tokens: initialTokens});

/** Adds `retryRatio` tokens for a first attempt. */
export const creditFirstAttempt = (budget: RetryBudget, retryRatio: number): void => {
	budget.tokens = Math.min(maxTokens, budget.tokens + retryRatio);
};

/** Takes a token for a retry; returns false if the budget is used up. */
export const tryConsumeRetry = (budget: RetryBudget): boolean => {
	if (budget.tokens < 1) {
		return false;
	}

	budget.tokens--;
	return true;
};
