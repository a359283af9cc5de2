import {expect, test} from '@jest/globals';
import {launchStandIn} from '../launched-stand-in.js';
import {call} from '../../__tests__/http.js';

test('a group of minions runs as its own process, each member at its own address', async () => {
	const minions = await launchStandIn('minion', {id: 'm', count: 2, speeds: '1,2'});
	expect(new Set(minions.addresses).size).toBe(2);
	const answers = await Promise.all(minions.addresses.map(async address => call(address, 'POST', '/tasks', {
		payload: null, headers: {'chivestream-attempt': 'k/0/1'},
	})));
	expect(answers.map(answer => answer.body.servedBy)).toEqual(['m-0', 'm-1']);
	expect(await minions.process.stop(Date.now() + 10_000)).toEqual({code: 0, signal: undefined});
});

test('a program that ends before it is ready says why', async () => {
	await expect(launchStandIn('minion', {slots: 'many'})).rejects.toThrow('--slots');
});
