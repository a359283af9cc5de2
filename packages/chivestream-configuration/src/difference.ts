/** Differences between two sets of declarations, and the smallest change that turns one into the other. */
import {isDeepStrictEqual} from 'node:util';
import {type Declarations} from 'chivestream-core';
import {type Change, changeKind} from './command.js';
import {type Entries, listEntries} from './entries.js';

/** Kinds of differences. */
export const differenceKind = {
	added: 'added',
	changed: 'changed',
	removed: 'removed',
} as const;

/** One entry that differs between two sets of declarations, with a path such as `worker/lens/w1`. */
export type Difference = {
	kind: (typeof differenceKind)[keyof typeof differenceKind];
	path: string;
	/** Undefined for an added entry. */
	before: unknown;
	/** Undefined for a removed entry. */
	after: unknown;
};

const compareEntries = (before: Entries, after: Entries): Difference[] => {
	const differences: Difference[] = [];
	for (const [path, value] of after) {
		if (!before.has(path)) {
			differences.push({
				kind: differenceKind.added, path, before: undefined, after: value,
			});
		} else if (!isDeepStrictEqual(before.get(path), value)) {
			differences.push({
				kind: differenceKind.changed, path, before: before.get(path), after: value,
			});
		}
	}

	for (const [path, value] of before) {
		if (!after.has(path)) {
			differences.push({
				kind: differenceKind.removed, path, before: value, after: undefined,
			});
		}
	}

	return differences;
};

/** Lists the entries that would change if `target` replaced `current`. */
export const findDifferences = (current: Declarations, target: Declarations): Difference[] =>
	compareEntries(listEntries(current), listEntries(target));

/** Creates the edit that turns `current` into `target`; it contains only the entries that differ. */
export const planChange = (current: Declarations, target: Declarations): Change => {
	const differences = findDifferences(current, target);
	const addedOrChanged = differences.filter(({kind}) => kind !== differenceKind.removed);
	const removed = differences.filter(({kind}) => kind === differenceKind.removed);
	return {
		kind: changeKind.edit,
		set: Object.fromEntries(addedOrChanged.map(({path, after}) => [path, after])),
		remove: removed.map(({path}) => path),
	};
};
