/** Exponential backoff with jitter. */
import {type Random} from 'chivestream-core';

const firstDelayMs = 50;
const maxDelayMs = 750;
const maxDoublings = 10;

/** Time of the next attempt after a number of consecutive failures, in milliseconds since the Unix epoch. */
export const retryDeadline = (now: number, failures: number, random: Random): number => {
	const ceilingMs = Math.min(maxDelayMs, firstDelayMs * (2 ** Math.min(failures, maxDoublings)));
	return now + (ceilingMs * (0.5 + (random() / 2)));
};
