/**
Snapshots of the fold's state in the log. A state is split into parts to limit the size of a record. A snapshot's id contains
a digest of its text, so that parts of the same state can be combined even if different hosts wrote them.
*/
import {digestText} from 'chivestream-core';
import {type StreamRecord} from 'chivestream-log';
import {z} from 'zod';
import {recordKind} from './command.js';
import {type State, stateSchema} from './state.js';

/** Maximum length of the text in one part, in characters. */
export const snapshotPartLength = 65_536;

const maxParts = 4096;
const maxPendingSnapshots = 4;

const snapshotPartSchema = z.object({
	kind: z.literal(recordKind.snapshot),
	snapshotId: z.string().max(64),
	/** Offset of the last record in the state. */
	covers: z.int().min(0),
	/** Index of this part, from 0. */
	part: z.int().min(0),
	/** Number of parts of the snapshot. */
	parts: z.int().min(1).max(maxParts),
	text: z.string(),
});

/** One part of a snapshot, as it is appended to the log. */
export type SnapshotPart = z.output<typeof snapshotPartSchema>;

/** Received parts of snapshots that are not complete yet, by snapshot id. */
export type PendingSnapshots = ReadonlyMap<string, readonly SnapshotPart[]>;

/** Serializes a state; equal states have the same text, regardless of the order of their fields. */
export const formatState = (state: State): string => JSON.stringify(stateSchema.parse(state));

/** Splits a state into the parts to be appended, in order. */
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

/** Parses a snapshot part from a record; undefined for records of other kinds. */
export const parseSnapshotPart = ({value}: StreamRecord): SnapshotPart | undefined => snapshotPartSchema.safeParse(value).data;

/** Adds a part to the pending snapshots; keeps the four snapshots that received parts most recently. */
export const addSnapshotPart = (pending: PendingSnapshots, part: SnapshotPart): PendingSnapshots => {
	const receivedParts = pending.get(part.snapshotId) ?? [];
	if (receivedParts.some(other => other.part === part.part)) {
		return pending;
	}

	const others = [...pending].filter(([snapshotId]) => snapshotId !== part.snapshotId);
	return new Map([...others.slice(-(maxPendingSnapshots - 1)), [part.snapshotId, [...receivedParts, part]]]);
};

/** Parses a state from its JSON text; undefined when the text is not a valid state. */
export const parseState = (text: string): State | undefined => {
	try {
		return stateSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
};

/** Restores the state of a complete snapshot; undefined while parts are missing or when the text does not match the id. */
export const restoreSnapshot = (pending: PendingSnapshots, snapshotId: string): State | undefined => {
	const receivedParts = pending.get(snapshotId) ?? [];
	const [first] = receivedParts;
	if (!first || receivedParts.length < first.parts) {
		return undefined;
	}

	const text = receivedParts.toSorted((left, right) => left.part - right.part).map(part => part.text).join('');
	const state = snapshotId === `${first.covers}-${digestText(text)}` ? parseState(text) : undefined;
	return state?.configuration.offset === first.covers ? state : undefined;
};
