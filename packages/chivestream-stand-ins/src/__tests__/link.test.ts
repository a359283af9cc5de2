import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {Pool} from 'undici';
import {startLink, type Link} from '../link.js';
import {startLogStandIn, type LogStandIn} from '../log.js';
import {call, statusOf} from './http.js';

let log: LogStandIn;
let link: Link;
let pool: Pool;

beforeEach(async () => {
	log = await startLogStandIn();
	link = await startLink({target: log.address});
	pool = new Pool(`http://${link.address}`, {connections: 1});
});

afterEach(async () => {
	await pool.destroy();
	await Promise.all([link.close(), log.close()]);
});

const append = async (payload: string) => statusOf(call(link.address, 'POST', '/streams/s/records', {payload, dispatcher: pool}));

test('a link passes on requests and answers', async () => {
	link.setDelayMs(5);
	expect(await append('x'.repeat(200_000))).toBe(201);
});

test('a cut link holds data until it is healed', async () => {
	await append('before');
	link.cut();
	const pending = append('during');
	await new Promise(resolve => {
		setTimeout(resolve, 50);
	});
	expect(log.appends()).toBe(1);
	link.heal();
	expect(await pending).toBe(201);
});

test('a reset link breaks connections and refuses new ones until it is healed', async () => {
	await append('before');
	link.reset();
	await expect(append('during')).rejects.toThrow();
	link.heal();
	expect(await append('after')).toBe(201);
});
