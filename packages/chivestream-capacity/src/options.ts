/** Parses and checks the command-line flags. */
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';

/** Checked options of a run. */
export type CapacityOptions = {
	/** Measurements to run, without duplicates. */
	names: string[];
	/** Measured rounds over all sizes, without the warm-up round. */
	rounds: number;
	isJson: boolean;
};

/** Flags as parsed from the command line, not yet checked. */
export type CapacityFlags = {
	/** Names of measurements, separated by commas. */
	only: string | undefined;
	rounds: number;
	json: boolean;
};

const minRounds = 3;
const maxRounds = 25;

const roundsSchema = z.int().min(minRounds).max(maxRounds);

/** Returns the options, or one error message for each invalid flag. Without `only`, all known measurements are selected. */
export const parseOptions = ({only, rounds, json}: CapacityFlags, knownNames: readonly string[]): Result<CapacityOptions, string[]> => {
	const errors: string[] = [];
	if (!roundsSchema.safeParse(rounds).success) {
		errors.push(`--rounds: ${rounds} is not an integer from ${minRounds} to ${maxRounds}`);
	}

	const names = only?.split(',') ?? [...knownNames];
	const unknown = names.filter(name => !knownNames.includes(name));
	if (unknown.length > 0) {
		errors.push(`--only: unknown measurement "${unknown.join('", "')}"; choose from ${knownNames.join(', ')}`);
	}

	return errors.length > 0 ? new Err(errors) : new Ok({names: [...new Set(names)], rounds, isJson: json});
};
