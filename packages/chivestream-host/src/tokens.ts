/**
 * Fencing tokens. A minion carries out no request with a lower token than the highest that it has received. A claim takes its token from
 * the time, and each session with a minion counts on from it: after the restart of the minion, and after a request without an answer.
 */

/** Tokens count milliseconds from this time, so that they fit into 53 bits together with the parts below. */
const epochMs = Date.UTC(2025, 0, 1);

/** Number of values of the part that distinguishes hosts that claim in the same millisecond. */
export const tokenSaltCount = 1024;

/** Number of consecutive tokens that belong to one claim. */
const tokensPerClaim = 64;

/** Distance between the tokens of one salt in consecutive milliseconds. */
const tokensPerMs = tokenSaltCount * tokensPerClaim;

/** The token of a claim at a Unix time in milliseconds; `salt` is a whole number below `tokenSaltCount`. */
export const claimToken = (timeMs: number, salt: number): number => ((timeMs - epochMs) * tokensPerMs) + (salt * tokensPerClaim);

/** The next token of a session. After the last one of its claim it takes those that the claim would have had a millisecond later. */
export const nextToken = (token: number): number => {
	const next = token + 1;
	return next % tokensPerClaim === 0 ? next + tokensPerMs - tokensPerClaim : next;
};
