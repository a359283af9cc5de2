/**
Snapshots of the fold's state in the log. A state is cut into parts, so that no record grows large; a snapshot's id holds
a digest of its text, so parts of the same state that two hosts wrote fit together.
*/
import {digestText} from 'chivestream-core';
import {type StreamRecord} from 'chivestream-log';
import {z} from 'zod';
import {recordKind} from './command.js';
import {type State, stateSchema} from './state.js';

/** Most characters of a state's text in one record. */
export const snapshotPartLength = 65_536;

const maxParts = 4096;
const maxPending = 4;

const snapshotPartSchema = z.object({
	kind: z.literal(recordKind.snapshot),
	snapshotId: z.string().max(64),
	/** Offset of the last record in the state. */
	covers: z.int().min(0),
	/** Counted from 0. */
	part: z.int().min(0),
	parts: z.int().min(1).max(maxParts),
	text: z.string(),
});

/** One part of a snapshot, as it is appended to the log. */
export type SnapshotPart = z.output<typeof snapshotPartSchema>;

/** Parts of snapshots that are not complete yet, by snapshot id. */
export type PendingSnapshots = ReadonlyMap<string, readonly SnapshotPart[]>;

/** The text of a state: the same for equal states, whatever the order in which their fields were set. */
export const formatState = (state: State): string => JSON.stringify(stateSchema.parse(state));

/** A state cut into the parts to be appended, in order. */
export const createSnapshot = (state: State, partLength = snapshotPartLength): SnapshotPart[] => {
	const text = formatState(state);
	const covers = state.configuration.offset;
	const snapshotId = `${covers}-${digestText(text)}`;
	const parts = Math.ceil(text.length / partLength);
	return Array.from({length: parts}, (_, part) => ({
		kind: recordKind.snapshot,
		snapshotId,
		covers,
		part,
		parts,
		text: text.slice(part * partLength, (part + 1) * partLength),
	}));
};

/** The part of a snapshot in a record, if it is one. */
export const parseSnapshotPart = ({value}: StreamRecord): SnapshotPart | undefined => snapshotPartSchema.safeParse(value).data;

/** Pending snapshots with one more part; the oldest are forgotten. */
export const addSnapshotPart = (pending: PendingSnapshots, part: SnapshotPart): PendingSnapshots => {
	const known = pending.get(part.snapshotId) ?? [];
	if (known.some(other => other.part === part.part)) {
		return pending;
	}

	const others = [...pending].filter(([snapshotId]) => snapshotId !== part.snapshotId);
	return new Map([...others.slice(-(maxPending - 1)), [part.snapshotId, [...known, part]]]);
};

/** A state from its JSON text; undefined when the text is no state. */
export const parseState = (text: string): State | undefined => {
	try {
		return stateSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
};

/** The state of a complete snapshot; undefined while parts are missing or when the text does not match its id. */
export const restoreSnapshot = (pending: PendingSnapshots, snapshotId: string): State | undefined => {
	const known = pending.get(snapshotId) ?? [];
	const [first] = known;
	if (!first || known.length < first.parts) {
		return undefined;
	}

	const text = known.toSorted((left, right) => left.part - right.part).map(part => part.text).join('');
	const state = snapshotId === `${first.covers}-${digestText(text)}` ? parseState(text) : undefined;
	return state?.configuration.offset === first.covers ? state : undefined;
};
