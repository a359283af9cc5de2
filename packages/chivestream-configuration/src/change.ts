/** Validates, applies and summarizes changes of the declarations. */
import {type Declarations} from 'chivestream-core';
import {formatPath} from 'chivestream-settings';
import {Err, Ok, type Result} from 'ts-results-es';
import {type z} from 'zod';
import {type Change, changeKind, changeSchema} from './command.js';
import {listUpstreamHostIds} from './consistency-checks.js';
import {declarationsSchema} from './declarations-schema.js';
import {buildDeclarations, listEntries} from './entries.js';

const maxReasons = 5;
const maxSummaryLength = 120;

const formatIssues = ({issues}: z.ZodError): string[] =>
	issues.slice(0, maxReasons).map(issue => `${formatPath(issue.path) || 'change'}: ${issue.message}`);

/** Parses a change; the error lists at most five faults. */
export const parseChange = (value: unknown): Result<Change, string[]> => {
	const parsed = changeSchema.safeParse(value);
	if (parsed.success) {
		return new Ok(parsed.data);
	}

	return new Err(formatIssues(parsed.error));
};

const edit = (
	declarations: Declarations,
	{set, remove}: Extract<Change, {kind: typeof changeKind.edit}>,
): Result<Declarations, string[]> => {
	const entries = new Map(listEntries(declarations));
	for (const path of remove) {
		entries.delete(path);
	}

	for (const [path, value] of Object.entries(set)) {
		entries.set(path, value);
	}

	const {unchecked, unknownPaths} = buildDeclarations(entries);
	if (unknownPaths.length > 0) {
		return new Err(unknownPaths.slice(0, maxReasons).map(path => `set: "${path}" has no place in the declarations`));
	}

	const parsed = declarationsSchema.safeParse(unchecked);
	if (!parsed.success) {
		return new Err(formatIssues(parsed.error));
	}

	const mismatchedPaths = [...listEntries(parsed.data).keys()].filter(path => !entries.has(path));
	return mismatchedPaths.length === 0
		? new Ok(parsed.data)
		: new Err(mismatchedPaths.slice(0, maxReasons).map(path => `set: an entry belongs under "${path}" by its own id or name`));
};

const drain = (declarations: Declarations, ids: string[]): Result<Declarations, string[]> => {
	const declaredIds = listUpstreamHostIds(declarations);
	const unknown = ids.filter(id => !declaredIds.has(id));
	if (unknown.length > 0) {
		return new Err(unknown.slice(0, maxReasons).map(id => `ids: no minion or worker is called "${id}"`));
	}

	return new Ok({...declarations, drains: [...new Set([...declarations.drains, ...ids])]});
};

const undrain = (declarations: Declarations, ids: string[]): Result<Declarations, string[]> => {
	const removed = new Set(ids);
	const drained = new Set(declarations.drains);
	const notDrained = ids.filter(id => !drained.has(id));
	if (notDrained.length > 0) {
		return new Err(notDrained.slice(0, maxReasons).map(id => `ids: "${id}" is not being drained`));
	}

	return new Ok({...declarations, drains: declarations.drains.filter(id => !removed.has(id))});
};

const setTeam = (
	declarations: Declarations,
	{team, weight, maxTasksInFlight}: Extract<Change, {kind: typeof changeKind.team}>,
): Result<Declarations, string[]> => {
	const current = Object.hasOwn(declarations.teams, team) ? declarations.teams[team] : undefined;
	if (!current) {
		return new Err([`team: no team is called "${team}"`]);
	}

	const changed = {weight: weight ?? current.weight, maxTasksInFlight: maxTasksInFlight ?? current.maxTasksInFlight};
	return new Ok({...declarations, teams: {...declarations.teams, [team]: changed}});
};

const setLimits = (
	declarations: Declarations,
	{limits}: Extract<Change, {kind: typeof changeKind.limits}>,
): Declarations => {
	const current = declarations.limits;
	return {
		...declarations,
		limits: {
			maxTasksPerJob: limits.maxTasksPerJob ?? current.maxTasksPerJob,
			maxDeadlineMs: limits.maxDeadlineMs ?? current.maxDeadlineMs,
			retryRatio: limits.retryRatio ?? current.retryRatio,
		},
	};
};

/** Applies a change to declarations; the error lists the reasons why it is not allowed. */
export const applyChange = (declarations: Declarations, change: Change): Result<Declarations, string[]> => {
	switch (change.kind) {
		case changeKind.replace: {
			return new Ok(change.declarations);
		}

		case changeKind.edit: {
			return edit(declarations, change);
		}

		case changeKind.drain: {
			return drain(declarations, change.ids);
		}

		case changeKind.undrain: {
			return undrain(declarations, change.ids);
		}

		case changeKind.team: {
			return setTeam(declarations, change);
		}

		case changeKind.limits: {
			return new Ok(setLimits(declarations, change));
		}
	}
};

const formatFields = (fields: Record<string, unknown>): string =>
	Object.entries(fields)
		.filter(([, value]) => value !== undefined)
		.map(([name, value]) => `${name}=${String(value)}`)
		.join(' ');

const describeChange = (change: Change): string => {
	switch (change.kind) {
		case changeKind.replace: {
			return 'replace the declarations';
		}

		case changeKind.edit: {
			const removals = change.remove.map(path => `-${path}`);
			return `edit ${[...Object.keys(change.set), ...removals].join(', ')}`;
		}

		case changeKind.drain:
		case changeKind.undrain: {
			return `${change.kind} ${change.ids.join(', ')}`;
		}

		case changeKind.team: {
			const {weight, maxTasksInFlight} = change;
			return `set team ${change.team} ${formatFields({weight, maxTasksInFlight})}`;
		}

		case changeKind.limits: {
			return `set limits ${formatFields(change.limits)}`;
		}
	}
};

/** Describes a change in one line of at most 120 characters. */
export const summarizeChange = (change: Change): string => {
	const text = describeChange(change);
	return text.length > maxSummaryLength ? `${text.slice(0, maxSummaryLength - 1)}…` : text;
};
