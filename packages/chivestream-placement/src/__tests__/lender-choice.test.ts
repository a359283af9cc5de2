import {expect, test} from '@jest/globals';
import {createLenderChoice} from '../lender-choice.js';

const upstream = 'lens';
const anywhere = {lendersPerRequest: 8, isAcrossZones: true};

const createChoice = () => {
	const choice = createLenderChoice();
	choice.noteIdle({id: 'far', isInZone: false}, upstream, 40);
	choice.noteIdle({id: 'near', isInZone: true}, upstream, 4);
	choice.noteIdle({id: 'nearer', isInZone: true}, upstream, 10);
	return choice;
};

test('asks the hosts of the own zone first, the one with most idle slots before the others', () => {
	expect(createChoice().plan(upstream, 12, anywhere)).toEqual([
		{lenderId: 'nearer', upstream, count: 5},
		{lenderId: 'near', upstream, count: 2},
		{lenderId: 'far', upstream, count: 5},
	]);
});

test('keeps to the terms', () => {
	expect(createChoice().plan(upstream, 12, {lendersPerRequest: 1, isAcrossZones: true})).toHaveLength(1);
	const asked = createChoice().plan(upstream, 100, {lendersPerRequest: 8, isAcrossZones: false});
	expect(asked.map(({lenderId}) => lenderId)).toEqual(['nearer', 'near']);
});

test('asks nobody while an answer is outstanding, nor a host that lent less than it was asked for', () => {
	const choice = createChoice();
	const [request] = choice.plan(upstream, 2, anywhere);
	expect(choice.plan(upstream, 2, anywhere)).toEqual([]);
	choice.noteAnswer(request!, 0);
	expect(choice.plan(upstream, 2, anywhere).map(({lenderId}) => lenderId)).not.toContain('nearer');
	choice.forget('near');
});
