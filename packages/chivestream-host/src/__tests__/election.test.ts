import {describe, expect, test} from '@jest/globals';
import {chooseDispatcher, contact, type Candidate} from '../election.js';

const candidate = (name: string, changes: Partial<Candidate> = {}, cpuShare = 1): Candidate => ({
	record: {
		name, zone: 'z', address: '10.0.0.1:1', bornAt: 1, cpuShare,
	},
	claim: 0,
	isLeaving: false,
	contact: contact.alive,
	...changes,
});

describe('the choice of the zone\'s dispatcher', () => {
	test('whoever has the highest claim stays, also when a larger host comes', () => {
		const choice = chooseDispatcher(candidate('a', {}, 2), [candidate('b', {claim: 5}), candidate('c', {claim: 4})], true);
		expect(choice).toMatchObject({kind: 'follow', record: {name: 'b'}});
	});

	test('without a claim the largest host that is alive claims', () => {
		expect(chooseDispatcher(candidate('b', {}, 2), [candidate('a')], false)).toEqual({kind: 'claim'});
		expect(chooseDispatcher(candidate('a'), [candidate('b', {}, 2)], false)).toMatchObject({kind: 'follow', record: {name: 'b'}});
	});

	test('a host that is leaving neither claims nor is followed', () => {
		expect(chooseDispatcher(candidate('a', {isLeaving: true}), [candidate('b', {claim: 3, isLeaving: true})], true)).toEqual({kind: 'none'});
	});

	test('a host that sees neither the others nor the store leaves the minions alone', () => {
		const silent = [candidate('b', {contact: contact.silent}), candidate('c', {contact: contact.silent})];
		expect(chooseDispatcher(candidate('a'), silent, false)).toEqual({kind: 'none'});
		expect(chooseDispatcher(candidate('a'), silent, true)).toEqual({kind: 'claim'});
	});

	test('hosts whose addresses refuse connections have ended, so the last one claims', () => {
		const dead = [candidate('b', {contact: contact.dead}), candidate('c', {contact: contact.dead})];
		expect(chooseDispatcher(candidate('a'), dead, false)).toEqual({kind: 'claim'});
	});
});
