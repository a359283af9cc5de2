/** Reads declarations from files in JSON with comments. */
import {type Declarations, type Failure} from 'chivestream-core';
import {readSettings, readSettingsFile} from 'chivestream-settings';
import {type Result} from 'ts-results-es';
import {type z} from 'zod';
import {listUpstreamHostIds} from './consistency-checks.js';
import {declarationsFileSchema} from './declarations-schema.js';

const resolveDrains = (
	{drains, ...declared}: z.output<typeof declarationsFileSchema>,
	drainsInForce: readonly string[],
): Declarations => {
	const declarations = {...declared, drains: drains ?? []};
	const ids = listUpstreamHostIds(declarations);
	return {...declarations, drains: drains ?? drainsInForce.filter(id => ids.has(id))};
};

/**
Parses declarations from JSON with comments; the error lists every fault with its position and fix. A text without the field
`drains` keeps the drains in force whose minions and workers it still declares.
*/
export const readDeclarations = (
	text: string,
	source = 'declarations',
	drainsInForce: readonly string[] = [],
): Result<Declarations, Failure> =>
	readSettings(text, declarationsFileSchema, source).map(declared => resolveDrains(declared, drainsInForce));

/** Reads declarations from a file in JSON with comments, as `readDeclarations` does. */
export const readDeclarationsFile = async (
	path: string,
	drainsInForce: readonly string[] = [],
): Promise<Result<Declarations, Failure>> => {
	const declared = await readSettingsFile(path, declarationsFileSchema);
	return declared.map(value => resolveDrains(value, drainsInForce));
};
