/** Seeds that failed in the past; `chivestream-soak --regressions` runs them again. */

import {faultSet, type FaultSet} from './soak.js';

/** A seed and the fault that it found. */
export type Regression = {
	seed: number;
	/** Hosts, minions and zones of the run that failed. */
	hosts: number;
	minions: number;
	zones: number;
	/** The set from which the faults of the run were drawn. */
	faults: FaultSet;
	/** The fault that made the run fail. */
	cause: string;
};

const defaultSize = {
	hosts: 6, minions: 12, zones: 2, faults: faultSet.basic,
} as const;

/** The seeds, oldest first. */
export const regressions: readonly Regression[] = [
	{...defaultSize, seed: 103, cause: 'a start request to one incarnation of a minion was carried out in the next one, although the stop of its run had been confirmed'},
	{...defaultSize, seed: 105, cause: 'an incarnation that a minion had reported was treated as a new one when the registry entry reported it too, so tasks ran twice'},
	{...defaultSize, seed: 127, cause: 'a fault of the soak: an injection that was still in progress restarted a host after the end'},
	{...defaultSize, seed: 133, cause: 'a task that started in a new incarnation before the dispatcher had recorded that incarnation was treated as ended with the previous one'},
	{...defaultSize, seed: 144, cause: 'an unanswered start request was dropped when its minion reported a new incarnation, but was carried out in it, so the minion exceeded its capacity'},
	{...defaultSize, seed: 145, cause: 'the same as seed 105'},
	{
		...defaultSize, seed: 24_202, faults: faultSet.all, cause: 'a restarted minion carried out a start request whose stop its last incarnation had confirmed, before it received a higher token',
	},
	{
		...defaultSize, seed: 24_221, faults: faultSet.all, cause: 'a fault of the soak: two overlapping faults started the same host twice, and the lost process kept its address',
	},
	{
		...defaultSize, seed: 25_105, faults: faultSet.all, cause: 'a dispatcher that had been paused ran a job of its earlier claim that another one ran by then; see also KNOWN-RED.txt',
	},
];
