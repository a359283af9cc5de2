import {expect, test} from '@jest/globals';
import {parseCommand} from '../command-line.js';

test('an unknown kind is refused', () => {
	expect(parseCommand('scanner', {})).toEqual({faults: ['unknown kind scanner: use one of log, hosts, minion, worker, balancer']});
	expect(parseCommand(undefined, {})).toHaveProperty('faults');
});

test('every wrong option is told at once', () => {
	const command = parseCommand('minion', {slots: 'many', listen: 'here', speeed: 2});
	expect(command).toHaveProperty('faults');
	expect('faults' in command && command.faults).toHaveLength(3);
});

test('the stand-in starts as the options say', async () => {
	const command = parseCommand('hosts', {lagMs: '10'});
	if (!('start' in command)) {
		throw new Error(command.faults.join('\n'));
	}

	const standIn = await command.start();
	expect(standIn.address).toMatch(/^127\.0\.0\.1:\d+$/v);
	await standIn.close();
});
