/** Consistency checks of the declarations that involve more than one field. */
import {type Declarations} from 'chivestream-core';

/** An inconsistent field: its path, the value found, the values allowed and how to fix it. */
export type Conflict = {
	path: Array<string | number>;
	found: unknown;
	allowed: string;
	fix: string;
};

type NamedField = {
	name: string;
	path: Array<string | number>;
};

const findDuplicates = (namedFields: NamedField[], noun: string): Conflict[] => {
	const seen = new Set<string>();
	const conflicts: Conflict[] = [];
	for (const {name, path} of namedFields) {
		if (seen.has(name)) {
			conflicts.push({
				path, found: name, allowed: `${noun} that stands only once`, fix: 'change or remove one of the two',
			});
		}

		seen.add(name);
	}

	return conflicts;
};

const listHostFields = (declarations: Declarations, field: 'id' | 'address'): NamedField[] => {
	const namedFields: NamedField[] = [];
	for (const [upstreamName, upstream] of Object.entries(declarations.upstreams)) {
		for (const kind of ['minions', 'workers'] as const) {
			for (const [index, host] of upstream[kind].entries()) {
				namedFields.push({name: host[field], path: ['upstreams', upstreamName, kind, index, field]});
			}
		}
	}

	return namedFields;
};

const hostIdsByUpstreams = new WeakMap<Declarations['upstreams'], ReadonlySet<string>>();

/** Ids of every declared minion and worker, cached for each `upstreams` object. */
export const listUpstreamHostIds = ({upstreams}: Declarations): ReadonlySet<string> => {
	const cachedIds = hostIdsByUpstreams.get(upstreams);
	if (cachedIds) {
		return cachedIds;
	}

	const hosts = Object.values(upstreams).flatMap(({minions, workers}) => [...minions, ...workers]);
	const ids = new Set(hosts.map(({id}) => id));
	hostIdsByUpstreams.set(upstreams, ids);
	return ids;
};

const findMinionsShortOfConnections = ({upstreams}: Declarations): Conflict[] =>
	Object.entries(upstreams).flatMap(([name, upstream]) => upstream.minions.flatMap((minion, index) =>
		minion.connections >= minion.slots
			? []
			: [{
				path: ['upstreams', name, 'minions', index, 'connections'],
				found: minion.connections,
				allowed: `at least its ${minion.slots} slots, since each running task holds a connection`,
				fix: 'raise connections or lower slots',
			}]));

const findUnknownDrains = (declarations: Declarations): Conflict[] => {
	const ids = listUpstreamHostIds(declarations);
	return declarations.drains.flatMap((id, index) => ids.has(id)
		? []
		: [{
			path: ['drains', index],
			found: id,
			allowed: 'the id of a declared minion or worker',
			fix: 'correct the id or remove it',
		}]);
};

const findUnknownObjectiveReferences = ({objectives, teams, upstreams}: Declarations): Conflict[] =>
	objectives.flatMap((objective, index) => {
		const conflicts: Conflict[] = [];
		if (!Object.hasOwn(teams, objective.team)) {
			conflicts.push({
				path: ['objectives', index, 'team'],
				found: objective.team,
				allowed: 'a team declared under teams',
				fix: 'correct the name or declare the team',
			});
		}

		if (!Object.hasOwn(upstreams, objective.upstream)) {
			conflicts.push({
				path: ['objectives', index, 'upstream'],
				found: objective.upstream,
				allowed: 'an upstream declared under upstreams',
				fix: 'correct the name or declare the upstream',
			});
		}

		return conflicts;
	});

/** Lists every inconsistency in the declarations. */
export const findConflicts = (declarations: Declarations): Conflict[] => [
	...findDuplicates(listHostFields(declarations, 'id'), 'an id'),
	...findDuplicates(listHostFields(declarations, 'address'), 'an address'),
	...findDuplicates(declarations.drains.map((name, index) => ({name, path: ['drains', index]})), 'an id'),
	...findDuplicates(declarations.objectives.map(({name}, index) => ({name, path: ['objectives', index, 'name']})), 'a name'),
	...findMinionsShortOfConnections(declarations),
	...findUnknownDrains(declarations),
	...findUnknownObjectiveReferences(declarations),
];
