import {describe, expect, test} from '@jest/globals';
import {readOptions} from '../options.js';

const known = ['claims', 'queue'];

describe('options', () => {
	test('all measurements run unless some are named', () => {
		expect(readOptions({only: undefined, rounds: 3, json: true}, known).unwrap()).toEqual({names: known, rounds: 3, isJson: true});
		expect(readOptions({only: 'queue,queue', rounds: 25, json: false}, known).unwrap().names).toEqual(['queue']);
	});

	test('a wrong flag is named with what it may be', () => {
		expect(readOptions({only: 'claims,nothing', rounds: 2, json: false}, known).unwrapErr()).toEqual([
			'--rounds: 2 is not a whole number from 3 to 25',
			'--only: no measurement is called "nothing"; give some of claims, queue',
		]);
		expect(readOptions({only: undefined, rounds: Number.NaN, json: false}, known).isErr()).toBe(true);
		expect(readOptions({only: undefined, rounds: 3.5, json: false}, known).isErr()).toBe(true);
		expect(readOptions({only: '', rounds: 3, json: false}, known).isErr()).toBe(true);
	});
});
