/** Records that a host read since the version in force, kept so that it can offer them to other hosts. */
import {type StreamRecord} from 'chivestream-log';
import {parseSnapshotPart} from './snapshot.js';

const maxRecords = 256;

/** A record as it is offered to others: parts of snapshots only advance the offset, so their text is left out. */
const shorten = (record: StreamRecord): StreamRecord => parseSnapshotPart(record) ? {...record, value: null} : record;

/**
The kept records with those that led from one held offset to another; none when the state came otherwise than by
records, since what is kept must follow on without a gap.
*/
export const addRecentRecords = (
	recent: readonly StreamRecord[],
	records: readonly StreamRecord[],
	{before, after}: {before: number; after: number},
): readonly StreamRecord[] => {
	if (before === after) {
		return recent;
	}

	const applied = records.filter(({offset}) => offset > before && offset <= after);
	const isWhole = applied.length === after - before;
	return isWhole ? [...recent, ...applied.map(record => shorten(record))].slice(-maxRecords) : [];
};
