import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {silentLogger} from 'chivestream-core';
import {entrySettings, type EntrySettings} from 'chivestream-settings';
import {
	startHostsStandIn, startLogStandIn, type HostsStandIn, type LogStandIn,
} from 'chivestream-stand-ins';
import {Agent, request} from 'undici';
import {startEntryProcess, type EntryProcess} from '../entry-process.js';

const token = 'a-token-for-tests-only';
const tlsFile = (name: string) => fileURLToPath(new URL(`../../../chivestream-settings/src/__fixtures__/tls/${name}`, import.meta.url));

let log: LogStandIn;
let hosts: HostsStandIn;
let entry: EntryProcess | undefined;
let dispatcher: Agent;

beforeEach(async () => {
	log = await startLogStandIn();
	hosts = await startHostsStandIn();
	dispatcher = new Agent({connect: {ca: readFileSync(tlsFile('certificate.pem'), 'utf8'), checkServerIdentity: () => undefined}});
});

afterEach(async () => {
	await dispatcher.destroy();
	await entry?.stop();
	entry = undefined;
	await log.close();
	await hosts.close();
});

const createSettings = (overrides: Record<string, unknown> = {}): EntrySettings => entrySettings.parse({
	host: {id: 'entry-a-1', region: 'north', zone: 'a'},
	listen: {caller: '127.0.0.1:0', peer: '127.0.0.1:0', operator: '127.0.0.1:0'},
	platform: {logs: [`http://${log.address}`], hosts: `http://${hosts.address}`},
	operatorToken: token,
	...overrides,
});

const fetchStatus = async (url: string, headers: Record<string, string> = {}): Promise<number | undefined> => {
	try {
		const response = await request(url, {dispatcher, headers});
		await response.body.dump();
		return response.statusCode;
	} catch {
		return undefined;
	}
};

test('with a key and certificate, callers and operators are served over TLS only', async () => {
	entry = await startEntryProcess(createSettings({tls: {key: tlsFile('key.pem'), certificate: tlsFile('certificate.pem')}}), silentLogger);
	const {caller, operator} = entry.addresses;
	expect(await fetchStatus(`https://${caller}/healthz`)).toBe(200);
	expect(await fetchStatus(`http://${caller}/healthz`)).toBeUndefined();
	expect(await fetchStatus(`https://${operator}/v1/histograms`, {authorization: `Bearer ${token}`})).toBe(200);
	expect(await fetchStatus(`https://${operator}/v1/histograms`)).toBe(401);
});

test('a key that does not belong to the certificate fails the start with an error about the settings', async () => {
	await expect(startEntryProcess(createSettings({tls: {key: tlsFile('other-key.pem'), certificate: tlsFile('certificate.pem')}}), silentLogger))
		.rejects.toMatchObject({code: 'settings-invalid'});
});

test('a host without a proven configuration is alive but not ready, and refuses jobs without reporting "not run"', async () => {
	log.setFaults({outage: '503'});
	entry = await startEntryProcess(createSettings(), silentLogger);
	const {caller} = entry.addresses;
	expect(await fetchStatus(`http://${caller}/healthz`)).toBe(200);
	expect(await fetchStatus(`http://${caller}/readyz`)).toBe(503);
	const response = await request(`http://${caller}/v1/jobs`, {
		method: 'POST',
		dispatcher,
		body: JSON.stringify({
			key: 'tag-1', createdAt: Date.now(), team: 'a', upstream: 'lens', isIdempotent: false, deadline: Date.now() + 1000, tasks: [{payload: 1}],
		}),
	});
	expect(response.statusCode).toBe(503);
	expect(await response.body.json()).toMatchObject({failure: {code: 'not-ready', notRun: false}});
});
