/** What a changed settings file means for a host that runs. */
import {type HostSettings} from './settings.js';

/** Names of the fields that differ, as paths. */
export type SettingsChange = {
	/** Taken over at once; bounds of leases and distance count from the next claim of a cell on. */
	applied: string[];
	/** Fixed for the life of a process. */
	needsRestart: string[];
};

const reloadableFields = new Set(['seeds', 'bounds.leaseMs', 'bounds.farFactor', 'bounds.stopGraceSeconds']);

const flatten = (value: unknown, path = ''): Array<[string, string]> =>
	typeof value === 'object' && value !== null && !Array.isArray(value)
		? Object.entries(value).flatMap(([name, inner]) => flatten(inner, path === '' ? name : `${path}.${name}`))
		: [[path, JSON.stringify(value)]];

/** The fields that differ between two settings, by what it takes to bring them into force. */
export const compareSettings = (before: HostSettings, after: HostSettings): SettingsChange => {
	const [fieldsBefore, fieldsAfter] = [new Map(flatten(before)), new Map(flatten(after))];
	const changed = [...new Set([...fieldsBefore.keys(), ...fieldsAfter.keys()])].filter(name => fieldsBefore.get(name) !== fieldsAfter.get(name));
	return {
		applied: changed.filter(name => reloadableFields.has(name)),
		needsRestart: changed.filter(name => !reloadableFields.has(name)),
	};
};

/** The settings in force after a change: the new ones where they can be applied, the old ones otherwise. */
export const applySettings = (before: HostSettings, after: HostSettings): HostSettings => ({
	...before,
	seeds: after.seeds,
	bounds: after.bounds,
});
