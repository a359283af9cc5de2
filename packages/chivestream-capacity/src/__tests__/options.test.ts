import {describe, expect, test} from '@jest/globals';
import {parseOptions} from '../options.js';

const knownNames = ['claims', 'queue'];

describe('options', () => {
	test('all measurements run unless --only selects some', () => {
		expect(parseOptions({only: undefined, rounds: 3, json: true}, knownNames).unwrap()).toEqual({names: knownNames, rounds: 3, isJson: true});
		expect(parseOptions({only: 'queue,queue', rounds: 25, json: false}, knownNames).unwrap().names).toEqual(['queue']);
	});

	test('the message for an invalid flag lists the accepted values', () => {
		expect(parseOptions({only: 'claims,nothing', rounds: 2, json: false}, knownNames).unwrapErr()).toEqual([
			'--rounds: 2 is not an integer from 3 to 25',
			'--only: unknown measurement "nothing"; choose from claims, queue',
		]);
		expect(parseOptions({only: undefined, rounds: Number.NaN, json: false}, knownNames).isErr()).toBe(true);
		expect(parseOptions({only: undefined, rounds: 3.5, json: false}, knownNames).isErr()).toBe(true);
		expect(parseOptions({only: '', rounds: 3, json: false}, knownNames).isErr()).toBe(true);
	});
});
