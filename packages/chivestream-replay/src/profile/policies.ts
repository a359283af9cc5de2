/** The policies that can be replayed, by name. */
import {type Clock, type Random} from 'chivestream-core';
import {
	selectFastest, createScheduler, rankByArrival, type Scheduler,
} from 'chivestream-placement';
import {
	chooseInTurn, chooseOfTwo, chooseRandom, createBaselineScheduler,
} from './baselines.js';

/** Creates the decisions of one entry host. */
export type Policy = (clock: Clock, random: Random) => Scheduler;

/** The policy that the product runs. */
export const productPolicy = 'chivestream';

/** What the product is compared with in every run. */
export const baselinePolicies = ['random', 'round-robin', 'two-choices'] as const;

/** Every policy by its name. */
export const policies: Record<string, Policy> = {
	[productPolicy]: (clock, random) => createScheduler({clock, random}),
	'fastest-by-arrival': (clock, random) => createScheduler({
		clock, random, selectTarget: selectFastest, rankJob: rankByArrival,
	}),
	random: (clock, random) => createBaselineScheduler(clock, random, chooseRandom),
	'round-robin': (clock, random) => createBaselineScheduler(clock, random, chooseInTurn),
	'two-choices': (clock, random) => createBaselineScheduler(clock, random, chooseOfTwo),
};
