/** Reads earlier versions back from the log, for a rollback. */
import {
	type Configuration, Failure, failureCode,
} from 'chivestream-core';
import {type Stream} from 'chivestream-log';
import {Err, Ok, type Result} from 'ts-results-es';
import {applyRecord, type Fold} from './fold.js';
import {
	applyPage, initialReader, nextOffset, defaultReaderRules,
} from './reader.js';

const pageLimit = 500;
const origin = {step: 'find-version', peer: 'configuration'} as const;

const createMissingVersionFailure = (version: number): Failure => {
	const message = `version ${version} is not in the log: it is not accepted yet, or its records are no longer retained`;
	return new Failure(failureCode.badRequest, message, origin);
};

/** Finds the configuration of an earlier version, as far back as the records and snapshots that the log retains. */
export const findVersion = async (stream: Stream, version: number): Promise<Result<Configuration, Failure>> => {
	const matches: Configuration[] = [];
	const fold: Fold = (state, record) => {
		const next = applyRecord(state, record);
		if (next.configuration.version === version) {
			matches.push(next.configuration);
		}

		return next;
	};

	let reader = initialReader;
	let end = Number.POSITIVE_INFINITY;
	while (matches.length === 0 && nextOffset(reader) < end && reader.state.configuration.version < version) {
		// eslint-disable-next-line no-await-in-loop
		const page = await stream.read({from: nextOffset(reader), limit: pageLimit, waitDeadline: 0});
		if (page.isErr()) {
			return new Err(page.error);
		}

		reader = applyPage(reader, page.value, {...defaultReaderRules, fold});
		end = page.value.next;
	}

	const [match = reader.state.configuration] = matches;
	return match.version === version ? new Ok(match) : new Err(createMissingVersionFailure(version));
};
