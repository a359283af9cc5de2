/** Reads pages of the configuration stream into a state and crosses gaps left by retention with the help of snapshots. */
import {type StreamPage, type StreamRecord} from 'chivestream-log';
import {applyRecord, type Fold} from './fold.js';
import {
	addSnapshotPart, parseSnapshotPart, type PendingSnapshots, restoreSnapshot,
} from './snapshot.js';
import {initialState, type State} from './state.js';

/** The search for a snapshot that covers the records which the log no longer holds. */
export type Search = {
	/** Offset to go on reading from. */
	from: number;
	pending: PendingSnapshots;
};

/** A state with the search for a snapshot, if records are missing. */
export type Reader = {
	state: State;
	search: Search | undefined;
};

/** What decides whether a snapshot may take the place of the state. */
export type SnapshotRange = {
	/** Offset of the last record in the snapshot. */
	covers: number;
	/** Offset of the last record in the state. */
	held: number;
	/** Lowest offset that the log still holds. */
	first: number;
};

/** Functions that a reader goes by. */
export type ReaderRules = {
	fold: Fold;
	isSnapshotUsable: (range: SnapshotRange) => boolean;
};

/** A snapshot is ignored when it covers less than the state, or when records after it are gone. */
export const isSnapshotUsable = ({covers, held, first}: SnapshotRange): boolean => covers > held && covers >= first - 1;

/** The rules that make every reader end in the same state. */
export const readerRules: ReaderRules = {fold: applyRecord, isSnapshotUsable};

/** A reader of a stream of which nothing is known. */
export const initialReader: Reader = {state: initialState, search: undefined};

/** Offset of the last record in a reader's state. */
export const heldOffset = ({state}: Reader): number => state.configuration.offset;

/** Offset to read from next. */
export const nextOffset = (reader: Reader): number => reader.search?.from ?? heldOffset(reader) + 1;

const searchPage = (reader: Reader, search: Search, page: StreamPage, rules: ReaderRules): Reader => {
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

/** The reader after a page that was read from its next offset. */
export const applyPage = (reader: Reader, page: StreamPage, rules: ReaderRules = readerRules): Reader => {
	if (reader.search) {
		return searchPage(reader, reader.search, page, rules);
	}

	if (page.first > heldOffset(reader) + 1) {
		return searchPage(reader, {from: page.first, pending: new Map()}, page, rules);
	}

	const records = page.records.filter(record => record.offset > heldOffset(reader));
	let {state} = reader;
	for (const record of records) {
		state = rules.fold(state, record);
	}

	return {state, search: undefined};
};

/** The reader after records that came from elsewhere; those that do not follow on its state are left out. */
export const applyOffer = (reader: Reader, records: readonly StreamRecord[], rules: ReaderRules = readerRules): Reader => {
	let {state} = reader;
	for (const record of records) {
		if (record.offset === state.configuration.offset + 1) {
			state = rules.fold(state, record);
		}
	}

	return state === reader.state ? reader : {state, search: undefined};
};

/** The reader after a state that came from another host; one that holds no more is ignored. */
export const applyState = (reader: Reader, state: State): Reader => {
	const isNewer = state.configuration.offset > heldOffset(reader);
	const isSameLog = state.configuration.version >= reader.state.configuration.version;
	return isNewer && isSameLog ? {state, search: undefined} : reader;
};
