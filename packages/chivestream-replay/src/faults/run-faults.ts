/** Runs seeds with faults and prints a report of each. */
import {faultKind} from './fault-plan.js';
import {runSeed} from './run-seed.js';
import {mechanism} from './switches.js';

/** What to run. */
export type FaultOptions = {
	/** `all`, or kinds of faults with commas between. */
	faults: string;
	seed: number;
	/** How many seeds to run, one after the other. */
	count: number;
	/** Mechanism to switch off. */
	switchOff?: string;
	/** Whether to print the whole report, in one line. */
	json: boolean;
};

const usageExitCode = 2;
const kinds = Object.values(faultKind);
const kindNames: readonly string[] = kinds;
const mechanisms = Object.values(mechanism);
const mechanismNames: readonly string[] = mechanisms;

const checkNames = ({faults, switchOff}: FaultOptions): string | undefined => {
	const unknown = faults.split(',').filter(name => name !== 'all' && !kindNames.includes(name));
	if (unknown.length > 0) {
		return `--faults: no kind of fault is called "${unknown.join(', ')}"; choose all or some of ${kinds.join(', ')}`;
	}

	return switchOff === undefined || mechanismNames.includes(switchOff)
		? undefined
		: `--switch-off: no mechanism is called "${switchOff}"; choose one of ${mechanisms.join(', ')}`;
};

/** Runs what the options ask for and prints a line for each seed. Returns the exit code. */
export const runFaults = async (options: FaultOptions): Promise<number> => {
	const fault = checkNames(options);
	if (fault !== undefined) {
		console.error(fault);
		return usageExitCode;
	}

	const names = new Set(options.faults.split(','));
	const chosen = kinds.filter(kind => options.faults === 'all' || names.has(kind));
	const switchedOff = mechanisms.find(known => known === options.switchOff);
	for (let {seed} = options; seed < options.seed + options.count; seed++) {
		// eslint-disable-next-line no-await-in-loop -- one run at a time
		const {unavailability, ...report} = await runSeed({seed, kinds: chosen, switchedOff});
		console.log(JSON.stringify(options.json ? {...report, unavailability} : report));
	}

	return 0;
};
