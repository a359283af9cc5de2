/** Runs seeds with faults and prints a report for each. */
import {faultKind} from './fault-plan.js';
import {runSeed} from './run-seed.js';
import {safeguard} from './safeguards.js';

/** Command-line options of a run with faults. */
export type FaultRunOptions = {
	/** `all`, or a comma-separated list of fault kinds. */
	faults: string;
	/** First seed. */
	seed: number;
	/** Number of consecutive seeds to run. */
	count: number;
	/** Name of a safeguard to disable. */
	switchOff?: string;
	/** Whether to include the unavailability per fault kind in the report. */
	json: boolean;
};

const usageExitCode = 2;
const kinds = Object.values(faultKind);
const kindNames: readonly string[] = kinds;
const safeguards = Object.values(safeguard);
const safeguardNames: readonly string[] = safeguards;

const validateNames = ({faults, switchOff}: FaultRunOptions): string | undefined => {
	const unknown = faults.split(',').filter(name => name !== 'all' && !kindNames.includes(name));
	if (unknown.length > 0) {
		return `--faults: unknown fault kind "${unknown.join(', ')}"; use "all" or a comma-separated list of ${kinds.join(', ')}`;
	}

	return switchOff === undefined || safeguardNames.includes(switchOff)
		? undefined
		: `--switch-off: unknown safeguard "${switchOff}"; use one of ${safeguards.join(', ')}`;
};

/** Runs the seeds and prints one line of JSON for each. Returns the exit code: 0, or 2 for an unknown name. */
export const runFaults = async (options: FaultRunOptions): Promise<number> => {
	const usageError = validateNames(options);
	if (usageError !== undefined) {
		console.error(usageError);
		return usageExitCode;
	}

	const selectedNames = new Set(options.faults.split(','));
	const selectedKinds = kinds.filter(kind => options.faults === 'all' || selectedNames.has(kind));
	const disabledSafeguard = safeguards.find(name => name === options.switchOff);
	for (let {seed} = options; seed < options.seed + options.count; seed++) {
		// eslint-disable-next-line no-await-in-loop -- seeds run one at a time
		const {unavailability, ...report} = await runSeed({seed, kinds: selectedKinds, disabledSafeguard});
		console.log(JSON.stringify(options.json ? {...report, unavailability} : report));
	}

	return 0;
};
