import {expect, test} from '@jest/globals';
import {createLenderSelector} from '../lender-selector.js';

const upstream = 'lens';
const allZones = {maxLendersPerRequest: 8, canBorrowAcrossZones: true};

const createSelector = () => {
	const selector = createLenderSelector();
	selector.recordIdleSlots({id: 'far', isInZone: false}, upstream, 40);
	selector.recordIdleSlots({id: 'near', isInZone: true}, upstream, 4);
	selector.recordIdleSlots({id: 'nearer', isInZone: true}, upstream, 10);
	return selector;
};

test('requests slots from hosts of the local zone first, and from those with most idle slots before others', () => {
	expect(createSelector().plan(upstream, 12, allZones)).toEqual([
		{lenderId: 'nearer', upstream, count: 5},
		{lenderId: 'near', upstream, count: 2},
		{lenderId: 'far', upstream, count: 5},
	]);
});

test('applies the limits of the lending policy', () => {
	expect(createSelector().plan(upstream, 12, {maxLendersPerRequest: 1, canBorrowAcrossZones: true})).toHaveLength(1);
	const requests = createSelector().plan(upstream, 100, {maxLendersPerRequest: 8, canBorrowAcrossZones: false});
	expect(requests.map(({lenderId}) => lenderId)).toEqual(['nearer', 'near']);
});

test('sends no request while an answer is outstanding, nor to a host that lent fewer slots than requested', () => {
	const selector = createSelector();
	const [request] = selector.plan(upstream, 2, allZones);
	expect(selector.plan(upstream, 2, allZones)).toEqual([]);
	selector.handleAnswer(request!, 0);
	expect(selector.plan(upstream, 2, allZones).map(({lenderId}) => lenderId)).not.toContain('nearer');
	selector.removeLender('near');
});
