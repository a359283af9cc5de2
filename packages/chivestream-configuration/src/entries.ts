/** Declarations as a flat list of entries, each under a path such as `worker/lens/w1`, and back. */
import {type Declarations} from 'chivestream-core';

/** Entries by path, in the order of the declarations. */
export type Entries = ReadonlyMap<string, unknown>;

const separator = '/';

/** Kinds of entries: the first part of a path. */
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

/** Every entry of the declarations. */
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

/** Declarations of unchecked content, as entries give them. */
type Draft = {
	upstreams: Record<string, {minions: unknown[]; workers: unknown[]}>;
	teams: Record<string, unknown>;
	objectives: unknown[];
	drains: unknown[];
	limits: unknown;
};

const placeHost = (draft: Draft, list: 'minions' | 'workers', upstreamName: string, value: unknown): boolean => {
	const upstream = Object.hasOwn(draft.upstreams, upstreamName) ? draft.upstreams[upstreamName] : undefined;
	upstream?.[list].push(value);
	return upstream !== undefined;
};

/** How an entry of each kind goes into its place under a name; false when there is none. */
const placements: Record<string, (draft: Draft, name: string, value: unknown) => boolean> = {
	[entryKind.upstream](draft, name, value) {
		draft.upstreams[name] = {...(typeof value === 'object' && value), minions: [], workers: []};
		return true;
	},
	[entryKind.minion]: (draft, name, value) => placeHost(draft, 'minions', name, value),
	[entryKind.worker]: (draft, name, value) => placeHost(draft, 'workers', name, value),
	[entryKind.team](draft, name, value) {
		draft.teams[name] = value;
		return true;
	},
	[entryKind.objective](draft, _name, value) {
		draft.objectives.push(value);
		return true;
	},
	[entryKind.drain](draft, _name, value) {
		draft.drains.push(value);
		return true;
	},
	[entryKind.limits](draft, _name, value) {
		draft.limits = value;
		return true;
	},
};

/** Puts one entry into its place; gives false when its path names none. */
const placeEntry = (draft: Draft, path: string, value: unknown): boolean => {
	const [kind = '', name = '', id, ...rest] = path.split(separator);
	const isHost = kind === entryKind.minion || kind === entryKind.worker;
	const isWhole = (name !== '') === (kind !== entryKind.limits) && (id !== undefined) === isHost && rest.length === 0;
	const place = Object.hasOwn(placements, kind) ? placements[kind] : undefined;
	return isWhole && (place?.(draft, name, value) ?? false);
};

const isUpstreamPath = (path: string): boolean => path.startsWith(`${entryKind.upstream}${separator}`);

/** Declarations from entries, still to be checked, and the paths that name no entry of declarations. */
export const buildDeclarations = (entries: Entries): {draft: unknown; unknownPaths: string[]} => {
	const draft: Draft = {
		upstreams: {}, teams: {}, objectives: [], drains: [], limits: undefined,
	};
	const unknownPaths: string[] = [];
	const ordered = [...entries].toSorted(([left], [right]) => Number(isUpstreamPath(right)) - Number(isUpstreamPath(left)));
	for (const [path, value] of ordered) {
		if (!placeEntry(draft, path, value)) {
			unknownPaths.push(path);
		}
	}

	return {draft, unknownPaths};
};
