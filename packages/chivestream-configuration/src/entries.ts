/** Converts declarations to a flat list of entries, each with a path such as `worker/lens/w1`, and back. */
import {type Declarations} from 'chivestream-core';

/** Entries by path, in the order of the declarations. */
export type Entries = ReadonlyMap<string, unknown>;

const separator = '/';

/** Kinds of entries; the kind is the first part of a path. */
export const entryKind = {
	upstream: 'upstream',
	minion: 'minion',
	worker: 'worker',
	team: 'team',
	objective: 'objective',
	drain: 'drain',
	limits: 'limits',
} as const;

const joinPath = (...parts: string[]): string => parts.join(separator);

/** Lists every entry of the declarations by path. */
export const listEntries = ({upstreams, teams, objectives, drains, limits}: Declarations): Entries => {
	const entries = new Map<string, unknown>();
	for (const [name, {minions, workers, ...upstream}] of Object.entries(upstreams)) {
		entries.set(joinPath(entryKind.upstream, name), upstream);
		for (const minion of minions) {
			entries.set(joinPath(entryKind.minion, name, minion.id), minion);
		}

		for (const worker of workers) {
			entries.set(joinPath(entryKind.worker, name, worker.id), worker);
		}
	}

	for (const [name, team] of Object.entries(teams)) {
		entries.set(joinPath(entryKind.team, name), team);
	}

	for (const objective of objectives) {
		entries.set(joinPath(entryKind.objective, objective.name), objective);
	}

	for (const id of drains) {
		entries.set(joinPath(entryKind.drain, id), id);
	}

	entries.set(entryKind.limits, limits);
	return entries;
};

/** Declarations built from entries, before the schema has checked them. */
type UncheckedDeclarations = {
	upstreams: Record<string, {minions: unknown[]; workers: unknown[]}>;
	teams: Record<string, unknown>;
	objectives: unknown[];
	drains: unknown[];
	limits: unknown;
};

const insertHost = (unchecked: UncheckedDeclarations, field: 'minions' | 'workers', upstreamName: string, value: unknown): boolean => {
	const upstream = Object.hasOwn(unchecked.upstreams, upstreamName) ? unchecked.upstreams[upstreamName] : undefined;
	upstream?.[field].push(value);
	return upstream !== undefined;
};

/** Inserts an entry, by its kind; returns false when its upstream does not exist. */
const entryInserters: Record<string, (unchecked: UncheckedDeclarations, name: string, value: unknown) => boolean> = {
	[entryKind.upstream](unchecked, name, value) {
		unchecked.upstreams[name] = {...(typeof value === 'object' && value), minions: [], workers: []};
		return true;
	},
	[entryKind.minion]: (unchecked, name, value) => insertHost(unchecked, 'minions', name, value),
	[entryKind.worker]: (unchecked, name, value) => insertHost(unchecked, 'workers', name, value),
	[entryKind.team](unchecked, name, value) {
		unchecked.teams[name] = value;
		return true;
	},
	[entryKind.objective](unchecked, _name, value) {
		unchecked.objectives.push(value);
		return true;
	},
	[entryKind.drain](unchecked, _name, value) {
		unchecked.drains.push(value);
		return true;
	},
	[entryKind.limits](unchecked, _name, value) {
		unchecked.limits = value;
		return true;
	},
};

/** Inserts one entry at its path; returns false when the path is not valid. */
const insertEntry = (unchecked: UncheckedDeclarations, path: string, value: unknown): boolean => {
	const [kind = '', name = '', id, ...rest] = path.split(separator);
	const isHost = kind === entryKind.minion || kind === entryKind.worker;
	const isValidPath = (name !== '') === (kind !== entryKind.limits) && (id !== undefined) === isHost && rest.length === 0;
	const insert = Object.hasOwn(entryInserters, kind) ? entryInserters[kind] : undefined;
	return isValidPath && (insert?.(unchecked, name, value) ?? false);
};

const isUpstreamPath = (path: string): boolean => path.startsWith(`${entryKind.upstream}${separator}`);

/**
Builds declarations from entries, not yet checked against the schema, and lists the paths that are not valid. Upstreams are
inserted first, since minions and workers are inserted into them.
*/
export const buildDeclarations = (entries: Entries): {unchecked: unknown; unknownPaths: string[]} => {
	const unchecked: UncheckedDeclarations = {
		upstreams: {}, teams: {}, objectives: [], drains: [], limits: undefined,
	};
	const unknownPaths: string[] = [];
	const upstreamsFirst = [...entries].toSorted(([left], [right]) => Number(isUpstreamPath(right)) - Number(isUpstreamPath(left)));
	for (const [path, value] of upstreamsFirst) {
		if (!insertEntry(unchecked, path, value)) {
			unknownPaths.push(path);
		}
	}

	return {unchecked, unknownPaths};
};
