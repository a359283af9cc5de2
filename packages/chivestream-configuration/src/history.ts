/** Earlier versions, read back from the log for a rollback. */
import {
	type Configuration, Failure, failureCode,
} from 'chivestream-core';
import {type Stream} from 'chivestream-log';
import {Err, Ok, type Result} from 'ts-results-es';
import {applyRecord, type Fold} from './fold.js';
import {
	applyPage, initialReader, nextOffset, readerRules,
} from './reader.js';

const pageLimit = 500;
const origin = {step: 'find-version', peer: 'configuration'} as const;

const createMissing = (version: number): Failure => {
	const message = `version ${version} is not in the log: it is not accepted yet, or its records are no longer retained`;
	return new Failure(failureCode.badRequest, message, origin);
};

/** The configuration of an earlier version, as far back as the log's records and snapshots reach. */
export const findVersion = async (stream: Stream, version: number): Promise<Result<Configuration, Failure>> => {
	const found: Configuration[] = [];
	const fold: Fold = (state, record) => {
		const next = applyRecord(state, record);
		if (next.configuration.version === version) {
			found.push(next.configuration);
		}

		return next;
	};

	let reader = initialReader;
	let end = Number.POSITIVE_INFINITY;
	while (found.length === 0 && nextOffset(reader) < end && reader.state.configuration.version < version) {
		// eslint-disable-next-line no-await-in-loop
		const page = await stream.read({from: nextOffset(reader), limit: pageLimit, waitDeadline: 0});
		if (page.isErr()) {
			return new Err(page.error);
		}

		reader = applyPage(reader, page.value, {...readerRules, fold});
		end = page.value.next;
	}

	const [first = reader.state.configuration] = found;
	return first.version === version ? new Ok(first) : new Err(createMissing(version));
};
