/** Reads declarations from files in JSON with comments. */
import {type Declarations, type Failure} from 'chivestream-core';
import {readSettings, readSettingsFile} from 'chivestream-settings';
import {type Result} from 'ts-results-es';
import {type z} from 'zod';
import {listUpstreamHostIds} from './cross-checks.js';
import {declarationsFileSchema} from './declarations-schema.js';

const addDrains = (
	{drains, ...declared}: z.output<typeof declarationsFileSchema>,
	drainsInForce: readonly string[],
): Declarations => {
	const declarations = {...declared, drains: drains ?? []};
	const ids = listUpstreamHostIds(declarations);
	return {...declarations, drains: drains ?? drainsInForce.filter(id => ids.has(id))};
};

/**
Declarations from a text in JSON with comments; the error lists every fault with its place and fix. A text without the field
`drains` keeps those in force for as long as their minions and workers are declared.
*/
export const readDeclarations = (
	text: string,
	source = 'declarations',
	drainsInForce: readonly string[] = [],
): Result<Declarations, Failure> =>
	readSettings(text, declarationsFileSchema, source).map(declared => addDrains(declared, drainsInForce));

/** Declarations from a file in JSON with comments; see `readDeclarations`. */
export const readDeclarationsFile = async (
	path: string,
	drainsInForce: readonly string[] = [],
): Promise<Result<Declarations, Failure>> => {
	const declared = await readSettingsFile(path, declarationsFileSchema);
	return declared.map(value => addDrains(value, drainsInForce));
};
