/** Checks what the command line asks for. */
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';

/** What to measure. */
export type CapacityOptions = {
	names: string[];
	rounds: number;
	isJson: boolean;
};

/** Flags as given. */
export type CapacityFlags = {
	only: string | undefined;
	rounds: number;
	json: boolean;
};

const leastRounds = 3;
const mostRounds = 25;

const roundsSchema = z.int().min(leastRounds).max(mostRounds);

/** Options from flags, or one message for each wrong flag. */
export const readOptions = ({only, rounds, json}: CapacityFlags, known: readonly string[]): Result<CapacityOptions, string[]> => {
	const errors: string[] = [];
	if (!roundsSchema.safeParse(rounds).success) {
		errors.push(`--rounds: ${rounds} is not a whole number from ${leastRounds} to ${mostRounds}`);
	}

	const names = only?.split(',') ?? [...known];
	const unknown = names.filter(name => !known.includes(name));
	if (unknown.length > 0) {
		errors.push(`--only: no measurement is called "${unknown.join('", "')}"; give some of ${known.join(', ')}`);
	}

	return errors.length > 0 ? new Err(errors) : new Ok({names: [...new Set(names)], rounds, isJson: json});
};
