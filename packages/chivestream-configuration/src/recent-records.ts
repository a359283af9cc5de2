/** Records that a host has applied since the version in force, kept to be offered to other hosts. */
import {type StreamRecord} from 'chivestream-log';
import {parseSnapshotPart} from './snapshot.js';

const maxRecords = 256;

/** Omits the value of a snapshot part, since such a record only advances the offset of a host that applies it. */
const omitSnapshotText = (record: StreamRecord): StreamRecord => parseSnapshotPart(record) ? {...record, value: null} : record;

/**
Adds the records that advanced the held offset from `before` to `after`. The result is empty when the state advanced by a
snapshot or a peer's state instead, since the kept records must be contiguous.
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
	const isContiguous = applied.length === after - before;
	return isContiguous ? [...recent, ...applied.map(record => omitSnapshotText(record))].slice(-maxRecords) : [];
};
