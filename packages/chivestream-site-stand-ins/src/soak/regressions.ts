/** Seeds that once failed, each with its cause; `chivestream-soak --regressions` runs them again. */

/** A seed with what it found. */
export type Regression = {
	seed: number;
	/** Hosts, minions and zones of the run that failed. */
	hosts: number;
	minions: number;
	zones: number;
	cause: string;
};

const defaultSize = {hosts: 6, minions: 12, zones: 2} as const;

/** The seeds, oldest first. */
export const regressions: readonly Regression[] = [
	{...defaultSize, seed: 103, cause: 'an order to a minion\'s lifetime was carried out in the next one, though its stop had been confirmed'},
	{...defaultSize, seed: 105, cause: 'a lifetime that a minion had told of was taken for another when its entry told of it: tasks ran twice'},
	{...defaultSize, seed: 127, cause: 'the soak itself: a fault that was still on started a host again after the end'},
	{...defaultSize, seed: 133, cause: 'a task that began in a lifetime\'s first moments, before that was known of, was taken to have ended with the one before'},
	{...defaultSize, seed: 144, cause: 'an order without answer was dropped at a new lifetime of its minion, and carried out in it: over capacity'},
	{...defaultSize, seed: 145, cause: 'as seed 105'},
];
