import {expect, test} from '@jest/globals';
import {failureCode} from 'chivestream-core';
import {entrySettings, readSettings, readSettingsFile} from '../index.js';

const examplePath = new URL('../../../../docs/examples/entry.jsonc', import.meta.url).pathname;

test('the example file is valid and defaults are applied', async () => {
	const result = await readSettingsFile(examplePath, entrySettings);
	const settings = result.unwrap();
	expect(settings.host).toEqual({id: 'e1', region: 'north', zone: 'a'});
	expect(settings.limits.maxRememberedJobs).toBe(100_000);
	expect(settings.advertise).toEqual({});
});

const faulty = `{
	"host": {"id": "e 1", "region": "north"},
	"listen": {"caller": "0.0.0.0:80", "peer": "localhost:1", "operator": "127.0.0.1:0", "admin": ""},
	"platform": {"logs": [], "hosts": "127.0.0.1"},
	"peers": [{"id": "e2", "zone": "a", "address": "127.0.0.1:0"}],
	"operatorToken": "short-secret",
	"limits": {"drainMs": "30s", "drainMs": 1.5},
	"logLevel": "loud",
	"colour": 1
}`;

test('all faults are listed at once with position, value, allowed values and fix', () => {
	const failure = readSettings(faulty, entrySettings, 'e1.jsonc').unwrapErr();
	expect(failure.code).toBe(failureCode.settingsInvalid);
	const lines = failure.message.split('\n');
	expect(lines[0]).toBe('e1.jsonc has 12 faults:');
	const expected = [
		/2:17: host\.id is "e 1"; allowed: a name of letters/v,
		/2:10: host\.zone is missing.*allowed: a text in quotes; to fix it, add host\.zone/v,
		/3:45: listen\.peer is "localhost:1"; allowed: an address as ip:port/v,
		/3:87: listen\.admin is not a known field; allowed: only caller, peer, operator/v,
		/4:23: platform\.logs is \[\]; allowed: at least 1 in the list/v,
		/4:36: platform\.hosts is "127\.0\.0\.1"; allowed: a URL/v,
		/5:49: peers\[0\]\.address is "127\.0\.0\.1:0"; allowed: an address as ip:port.*others connect to/v,
		/6:19: operatorToken is \(not shown\); allowed: at least 16 characters/v,
		/7:31: limits\.drainMs is given twice; allowed: each field once; to fix it, remove one/v,
		/7:24: limits\.drainMs is "30s"; allowed: a whole number/v,
		/8:14: logLevel is "loud"; allowed: "error" or "warn" or "info" or "debug"/v,
		/9:2: colour is not a known field; allowed: only host, listen, .*; to fix it, remove it/v,
	];
	for (const pattern of expected) {
		expect(lines).toContainEqual(expect.stringMatching(pattern));
	}

	expect(failure.message).not.toContain('short-secret');
});

test('a wildcard listen address requires an advertised address', () => {
	const text = `{
		"host": {"id": "e1", "region": "north", "zone": "a"},
		"listen": {"caller": "0.0.0.0:80", "peer": "127.0.0.1:0", "operator": "127.0.0.1:0"},
		"platform": {"logs": ["http://127.0.0.1:1"], "hosts": "http://127.0.0.1:2"},
		"operatorToken": "0123456789abcdef"
	}`;
	const failure = readSettings(text, entrySettings).unwrapErr();
	expect(failure.message).toMatch(/advertise\.caller .* add advertise\.caller/v);
});

test('a syntax error is reported with line and column', () => {
	const failure = readSettings('{\n\t"host": {,}\n}', entrySettings, 'e1.jsonc').unwrapErr();
	expect(failure.message).toMatch(/e1\.jsonc:2:11: .*correct the syntax here \(value expected\)/v);
});

test('an unreadable file is a failure with its path', async () => {
	const result = await readSettingsFile('/no/such/file', entrySettings);
	const failure = result.unwrapErr();
	expect(failure.peer).toBe('/no/such/file');
	expect(failure.message).toContain('cannot be read');
});
