/** Reads declarations from files in JSON with comments. */
import {type Declarations, type Failure} from 'chivestream-core';
import {readSettings, readSettingsFile} from 'chivestream-settings';
import {type Result} from 'ts-results-es';
import {declarationsSchema} from './declarations-schema.js';

/** Declarations from a text in JSON with comments; the error lists every fault with its place and fix. */
export const readDeclarations = (text: string, source = 'declarations'): Result<Declarations, Failure> =>
	readSettings(text, declarationsSchema, source);

/** Declarations from a file in JSON with comments. */
export const readDeclarationsFile = async (path: string): Promise<Result<Declarations, Failure>> =>
	readSettingsFile(path, declarationsSchema);
