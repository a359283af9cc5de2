/** Reload of the settings file while the host runs: which changes are applied, and which need a restart. */
import {type HostSettings} from './settings.js';

/** Paths of the changed fields, such as `bounds.leaseMs`. */
export type SettingsChange = {
	/** Applied at once, except that `bounds.leaseMs` and `bounds.farFactor` apply from the next claim of a cell on. */
	applied: string[];
	/** Fixed while the process runs. */
	needsRestart: string[];
};

const reloadableFields = new Set(['seeds', 'bounds.leaseMs', 'bounds.farFactor', 'bounds.stopGraceSeconds']);

/** Lists the leaf fields of a value as pairs of path and JSON text. */
const flatten = (value: unknown, path = ''): Array<[string, string]> =>
	typeof value === 'object' && value !== null && !Array.isArray(value)
		? Object.entries(value).flatMap(([name, inner]) => flatten(inner, path === '' ? name : `${path}.${name}`))
		: [[path, JSON.stringify(value)]];

/** Lists the fields that differ between two settings, grouped by whether they need a restart. */
export const compareSettings = (before: HostSettings, after: HostSettings): SettingsChange => {
	const [fieldsBefore, fieldsAfter] = [new Map(flatten(before)), new Map(flatten(after))];
	const changed = [...new Set([...fieldsBefore.keys(), ...fieldsAfter.keys()])].filter(name => fieldsBefore.get(name) !== fieldsAfter.get(name));
	return {
		applied: changed.filter(name => reloadableFields.has(name)),
		needsRestart: changed.filter(name => !reloadableFields.has(name)),
	};
};

/** The settings in force after a reload: new values of the fields that can be applied, old values of the others. */
export const applySettings = (before: HostSettings, after: HostSettings): HostSettings => ({
	...before,
	seeds: after.seeds,
	bounds: after.bounds,
});
