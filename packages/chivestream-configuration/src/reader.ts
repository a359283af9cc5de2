/** Reads pages of the configuration stream into a state; a snapshot restores the state when retention has dropped records that it lacks. */
import {type StreamPage, type StreamRecord} from 'chivestream-log';
import {applyRecord, type Fold} from './fold.js';
import {
	addSnapshotPart, parseSnapshotPart, type PendingSnapshots, restoreSnapshot,
} from './snapshot.js';
import {initialState, type State} from './state.js';

/** The search for a snapshot that covers the records that the log no longer retains. */
export type SnapshotSearch = {
	/** Offset of the next record to read. */
	from: number;
	pending: PendingSnapshots;
};

/** A state and the search for a snapshot, which is undefined while no records are missing. */
export type Reader = {
	state: State;
	search: SnapshotSearch | undefined;
};

/** The offsets that decide whether a snapshot may replace the state. */
export type SnapshotRange = {
	/** Offset of the last record in the snapshot. */
	covers: number;
	/** Offset of the last record in the state. */
	held: number;
	/** Lowest offset that the log retains. */
	first: number;
};

/** Functions that a reader uses to apply records and snapshots. */
export type ReaderRules = {
	fold: Fold;
	isSnapshotUsable: (range: SnapshotRange) => boolean;
};

/** Whether a snapshot covers more than the state and the log retains every record after it. */
export const isSnapshotUsable = ({covers, held, first}: SnapshotRange): boolean => covers > held && covers >= first - 1;

/** The rules by which every reader of the same log arrives at the same state. */
export const defaultReaderRules: ReaderRules = {fold: applyRecord, isSnapshotUsable};

/** The reader before the first page. */
export const initialReader: Reader = {state: initialState, search: undefined};

/** Offset of the last record in a reader's state. */
export const heldOffset = ({state}: Reader): number => state.configuration.offset;

/** Offset to read from next. */
export const nextOffset = (reader: Reader): number => reader.search?.from ?? heldOffset(reader) + 1;

const searchSnapshot = (reader: Reader, search: SnapshotSearch, page: StreamPage, rules: ReaderRules): Reader => {
	let {pending} = search;
	for (const record of page.records) {
		const part = parseSnapshotPart(record);
		if (part) {
			pending = addSnapshotPart(pending, part);
			const state = restoreSnapshot(pending, part.snapshotId);
			if (state && rules.isSnapshotUsable({covers: part.covers, held: heldOffset(reader), first: page.first})) {
				return {state, search: undefined};
			}
		}
	}

	const last = page.records.at(-1);
	return {state: reader.state, search: {from: last ? last.offset + 1 : Math.max(search.from, page.first), pending}};
};

/** Applies a page that was read from the reader's next offset. */
export const applyPage = (reader: Reader, page: StreamPage, rules: ReaderRules = defaultReaderRules): Reader => {
	if (reader.search) {
		return searchSnapshot(reader, reader.search, page, rules);
	}

	if (page.first > heldOffset(reader) + 1) {
		return searchSnapshot(reader, {from: page.first, pending: new Map()}, page, rules);
	}

	const records = page.records.filter(record => record.offset > heldOffset(reader));
	let {state} = reader;
	for (const record of records) {
		state = rules.fold(state, record);
	}

	return {state, search: undefined};
};

/** Applies records from another source than a page of the log; those that do not directly follow the state are ignored. */
export const applyOfferedRecords = (reader: Reader, records: readonly StreamRecord[], rules: ReaderRules = defaultReaderRules): Reader => {
	let {state} = reader;
	for (const record of records) {
		if (record.offset === state.configuration.offset + 1) {
			state = rules.fold(state, record);
		}
	}

	return state === reader.state ? reader : {state, search: undefined};
};

/** Applies the state of another host; ignores it if its offset is not later or its version is earlier. */
export const applyState = (reader: Reader, state: State): Reader => {
	const isNewer = state.configuration.offset > heldOffset(reader);
	const isSameLog = state.configuration.version >= reader.state.configuration.version;
	return isNewer && isSameLog ? {state, search: undefined} : reader;
};
