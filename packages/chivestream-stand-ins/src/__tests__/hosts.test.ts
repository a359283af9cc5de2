import {expect, test} from '@jest/globals';
import {startHostsStandIn} from '../hosts.js';
import {bodyOf, call, statusOf} from './http.js';

const host = {
	id: 'e1', zone: 'a', address: '127.0.0.1:1', state: 'live',
} as const;

const getHosts = async (address: string) => bodyOf(call(address, 'GET', '/hosts'));

test('the list is set over HTTP and checked', async () => {
	const hosts = await startHostsStandIn();
	const put = async (list: unknown) => statusOf(call(hosts.address, 'PUT', '/hosts', {payload: {hosts: list}}));

	expect(await put([host])).toBe(204);
	expect(await put([{...host, state: 'gone'}])).toBe(400);
	expect(await getHosts(hosts.address)).toEqual({hosts: [host]});
	await hosts.close();
});

test('a change stays hidden until the lag has passed', async () => {
	const hosts = await startHostsStandIn({hosts: [host], lagMs: 60_000});
	hosts.setHosts([]);
	expect(await getHosts(hosts.address)).toEqual({hosts: [host]});
	await hosts.close();
});
