/** Checks of the declarations that look at more than one field. */
import {type Declarations} from 'chivestream-core';

/** Two fields that do not go together: where, what was found, what is allowed and how to mend it. */
export type Conflict = {
	path: Array<string | number>;
	found: unknown;
	allowed: string;
	fix: string;
};

type NamedPlace = {
	name: string;
	path: Array<string | number>;
};

const findRepeats = (places: NamedPlace[], noun: string): Conflict[] => {
	const seen = new Set<string>();
	const conflicts: Conflict[] = [];
	for (const {name, path} of places) {
		if (seen.has(name)) {
			conflicts.push({
				path, found: name, allowed: `${noun} that stands only once`, fix: 'change or remove one of the two',
			});
		}

		seen.add(name);
	}

	return conflicts;
};

const listPlaces = (declarations: Declarations, field: 'id' | 'address'): NamedPlace[] => {
	const places: NamedPlace[] = [];
	for (const [upstreamName, upstream] of Object.entries(declarations.upstreams)) {
		for (const kind of ['minions', 'workers'] as const) {
			for (const [index, host] of upstream[kind].entries()) {
				places.push({name: host[field], path: ['upstreams', upstreamName, kind, index, field]});
			}
		}
	}

	return places;
};

const idsByUpstreams = new WeakMap<Declarations['upstreams'], ReadonlySet<string>>();

/** Ids of every declared minion and worker; kept for upstreams that were asked about before. */
export const listUpstreamHostIds = ({upstreams}: Declarations): ReadonlySet<string> => {
	const known = idsByUpstreams.get(upstreams);
	if (known) {
		return known;
	}

	const hosts = Object.values(upstreams).flatMap(({minions, workers}) => [...minions, ...workers]);
	const ids = new Set(hosts.map(({id}) => id));
	idsByUpstreams.set(upstreams, ids);
	return ids;
};

const findNarrowMinions = ({upstreams}: Declarations): Conflict[] =>
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

const findUnknownSubjects = ({objectives, teams, upstreams}: Declarations): Conflict[] =>
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

/** Everything in the declarations that does not go together. */
export const findConflicts = (declarations: Declarations): Conflict[] => [
	...findRepeats(listPlaces(declarations, 'id'), 'an id'),
	...findRepeats(listPlaces(declarations, 'address'), 'an address'),
	...findRepeats(declarations.drains.map((name, index) => ({name, path: ['drains', index]})), 'an id'),
	...findRepeats(declarations.objectives.map(({name}, index) => ({name, path: ['objectives', index, 'name']})), 'a name'),
	...findNarrowMinions(declarations),
	...findUnknownDrains(declarations),
	...findUnknownSubjects(declarations),
];
