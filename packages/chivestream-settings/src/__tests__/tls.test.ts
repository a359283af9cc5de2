import {once} from 'node:events';
import {createServer, request} from 'node:https';
import {expect, test} from '@jest/globals';
import {boundAddress, failureCode, splitAddress} from 'chivestream-core';
import {loadTls} from '../index.js';

const file = (name: string): string => new URL(`../__fixtures__/tls/${name}`, import.meta.url).pathname;
const validFiles = {key: file('key.pem'), certificate: file('certificate.pem')};

test('a server responds over TLS with the loaded files', async () => {
	const loaded = await loadTls(validFiles, Date.now());
	const options = loaded.unwrap();
	const server = createServer(options, (_request, response) => {
		response.end('secure');
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {host, port} = splitAddress(boundAddress(server));
	const text = await new Promise((resolve, reject) => {
		request({host, port, ca: options.cert}, response => {
			response.setEncoding('utf8').once('data', resolve);
		}).once('error', reject).end();
	});
	expect(text).toBe('secure');
	server.closeAllConnections();
	server.close();
});

const faulty: Array<[string, Parameters<typeof loadTls>[0], RegExp[]]> = [
	['missing files and files of the wrong kind', {key: file('none.pem'), certificate: file('key.pem'), authority: file('none.pem')}, [
		/tls\.key: file ".*none\.pem" cannot be read/v,
		/tls\.certificate: file ".*key\.pem" is not a certificate in PEM form/v,
		/tls\.authority: file ".*none\.pem" cannot be read/v,
	]],
	['a key and a certificate that do not match', {...validFiles, key: file('other-key.pem')}, [/tls\.key: .*does not belong to the certificate/v]],
];

test.each(faulty)('%s are reported by field', async (_name, files, patterns) => {
	const loaded = await loadTls(files, Date.now());
	const failure = loaded.unwrapErr();
	expect(failure.code).toBe(failureCode.settingsInvalid);
	const lines = failure.message.split('\n');
	expect(lines).toEqual(patterns.map(pattern => expect.stringMatching(pattern) as unknown));
});

test('a certificate is refused outside its validity period', async () => {
	const early = await loadTls(validFiles, 0);
	expect(early.unwrapErr().message).toMatch(/tls\.certificate: .*is not valid before/v);
	const late = await loadTls(validFiles, Date.parse('2300-01-01'));
	expect(late.unwrapErr().message).toMatch(/tls\.certificate: .*expired on .*renew it/v);
});
