import {expect, test} from '@jest/globals';
import {Pool} from 'undici';
import {startBalancerStandIn} from '../balancer.js';
import {
	anyLoopbackAddress, sendJson, startService, type Service,
} from '../service.js';
import {call} from './http.js';

const startEntry = async (name: string, status = 200): Promise<Service> => startService({
	'GET /readyz'(_request, response) {
		sendJson(response, status, {});
	},
	'GET /name'(_request, response) {
		sendJson(response, 200, {name});
	},
}, {listen: anyLoopbackAddress});

/** Name of the entry host that a new connection reaches. */
const nameBehind = async (address: string): Promise<unknown> => {
	const pool = new Pool(`http://${address}`, {connections: 1});
	try {
		const {body} = await call(address, 'GET', '/name', {dispatcher: pool});
		return body.name;
	} finally {
		await pool.destroy();
	}
};

test('connections go round the entry hosts that are ready', async () => {
	const entries = await Promise.all([startEntry('a'), startEntry('b'), startEntry('c', 503)]);
	const balancer = await startBalancerStandIn({targets: entries.map(({address}) => ({address}))});
	const names = [];
	for (let count = 0; count < 4; count++) {
		// eslint-disable-next-line no-await-in-loop
		names.push(await nameBehind(balancer.address));
	}

	expect(names.toSorted((left, right) => String(left).localeCompare(String(right)))).toEqual(['a', 'a', 'b', 'b']);
	await Promise.all([balancer.close(), ...entries.map(async entry => entry.close())]);
});

test('the targets can be replaced', async () => {
	const [old, young] = await Promise.all([startEntry('old'), startEntry('young')]);
	const balancer = await startBalancerStandIn({targets: [{address: old.address}], spread: 'random'});
	expect(await nameBehind(balancer.address)).toBe('old');
	await balancer.setTargets([{address: young.address}]);
	expect(balancer.ready()).toEqual([young.address]);
	expect(await nameBehind(balancer.address)).toBe('young');
	await Promise.all([balancer.close(), old.close(), young.close()]);
});

test('open connections can be broken', async () => {
	const entry = await startEntry('a');
	const balancer = await startBalancerStandIn({targets: [{address: entry.address}]});
	const pool = new Pool(`http://${balancer.address}`, {connections: 1});
	await call(balancer.address, 'GET', '/name', {dispatcher: pool});
	const broken = new Promise(resolve => {
		pool.once('disconnect', resolve);
	});
	balancer.breakConnections();
	await broken;
	await Promise.all([pool.destroy(), balancer.close(), entry.close()]);
});

test('a connection is closed when no entry host is ready', async () => {
	const balancer = await startBalancerStandIn();
	await expect(nameBehind(balancer.address)).rejects.toThrow();
	await balancer.close();
});
