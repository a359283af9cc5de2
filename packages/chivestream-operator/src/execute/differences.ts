/** What changes from one set of declarations to another. */
import {isDeepStrictEqual} from 'node:util';
import {type Declarations} from 'chivestream-core';
import {type Difference} from '../answers.js';

const isRecord = (value: unknown): value is Record<string, unknown> =>
	typeof value === 'object' && value !== null && !Array.isArray(value);

const plainName = /^[\w\-]+$/v;

const joinPath = (path: string, name: string): string => {
	const part = plainName.test(name) ? name : JSON.stringify(name);
	return path === '' ? part : `${path}.${part}`;
};

const nameOf = (item: unknown): string | undefined => {
	if (typeof item === 'string') {
		return item;
	}

	const name = isRecord(item) ? item.id ?? item.name : undefined;
	return typeof name === 'string' ? name : undefined;
};

/** Lists of named things as a record by name; undefined for other lists. */
const indexByName = (items: unknown[]): Record<string, unknown> | undefined => {
	const entries = items.map(item => ({name: nameOf(item), item}));
	const isNamed = entries.every(({name}) => name !== undefined);
	const isUnique = new Set(entries.map(({name}) => name)).size === entries.length;
	return isNamed && isUnique ? Object.fromEntries(entries.map(({name = '', item}) => [name, item])) : undefined;
};

const toFields = (value: unknown): Record<string, unknown> | undefined => {
	if (Array.isArray(value)) {
		return indexByName(value);
	}

	return isRecord(value) ? value : undefined;
};

const compareFields = (path: string, before: Record<string, unknown>, after: Record<string, unknown>): Difference[] => {
	const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
	return names.flatMap((name): Difference[] => {
		const inner = joinPath(path, name);
		if (!Object.hasOwn(before, name)) {
			return [{
				path: inner, kind: 'added', before: undefined, after: after[name],
			}];
		}

		if (!Object.hasOwn(after, name)) {
			return [{
				path: inner, kind: 'removed', before: before[name], after: undefined,
			}];
		}

		return compareValues(inner, before[name], after[name]);
	});
};

const compareValues = (path: string, before: unknown, after: unknown): Difference[] => {
	if (isDeepStrictEqual(before, after)) {
		return [];
	}

	const beforeFields = toFields(before);
	const afterFields = toFields(after);
	return beforeFields && afterFields
		? compareFields(path, beforeFields, afterFields)
		: [{
			path, kind: 'changed', before, after,
		}];
};

/** Differences between declarations; members of lists are matched by id or name, so that their order does not count. */
export const findDifferences = (before: Declarations, after: Declarations): Difference[] => compareValues('', before, after);
