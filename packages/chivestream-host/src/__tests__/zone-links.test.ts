import {describe, expect, test} from '@jest/globals';
import {selectZoneLinks, type ZoneHost} from '../zone-links.js';

const host = (name: string, cpuShare: number, changes: Partial<ZoneHost> = {}): ZoneHost => ({
	record: {
		name, zone: 'z', address: '10.0.0.1:1', bornAt: 1, cpuShare,
	},
	isDispatcher: false,
	unreachableMs: 0,
	...changes,
});

const zone = (count: number): ZoneHost[] => Array.from({length: count}, (_, index) => host(`h${index}`, 0.25 + (index % 5)));

const names = (hosts: readonly ZoneHost[], cellCount = 1) => selectZoneLinks(hosts, cellCount).map(record => record.name);

describe('links within a zone', () => {
	test('stay at the same number per host from 10 to 300 hosts in 5 zones', () => {
		const linksPerHost = [10, 30, 100, 300].map(hosts => selectZoneLinks(zone(hosts / 5), 2).length);
		expect(linksPerHost).toEqual([2, 5, 5, 5]);
	});

	test('go to the largest hosts, one more for each cell', () => {
		const hosts = [host('a', 0.2), host('b', 1.3), host('c', 0.8), host('d', 0.2), host('e', 0.8), host('f', 0.2)];
		expect(names(hosts, 1)).toEqual(['b', 'c', 'e', 'a']);
		expect(names(hosts, 2)).toEqual(['b', 'c', 'e', 'a', 'd']);
	});

	test('go to a dispatcher of any size', () => {
		expect(names([...zone(20), host('small', 0.1, {isDispatcher: true})])).toContain('small');
	});

	test('go to the next hosts once candidates have been unreachable for a while, and not before', () => {
		const hosts = (unreachableMs: number) => [host('a', 9, {unreachableMs}), host('b', 8, {unreachableMs}), ...zone(10)];
		expect(names(hosts(900))).toHaveLength(4);
		expect(names(hosts(1100))).toEqual([...names(hosts(900)), ...names(zone(10)).slice(2, 4)]);
	});

	test('reach every host if none answers', () => {
		expect(names(zone(40).map(other => ({...other, unreachableMs: 2000})))).toHaveLength(40);
	});
});
