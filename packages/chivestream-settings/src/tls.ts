/** Loads and checks the TLS key and certificates of the caller and operator services, before these services listen. */
import {createPrivateKey, X509Certificate} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {Failure, failureCode} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {type EntrySettings} from './entry-settings.js';

/** Paths of the TLS files, all in PEM format. */
export type TlsFiles = NonNullable<EntrySettings['tls']>;

/** Options for a `node:https` server. With a certificate authority, clients must present a certificate signed by it. */
export type TlsServerOptions = {
	key: string;
	cert: string;
	ca?: string;
	requestCert: boolean;
	rejectUnauthorized: boolean;
	minVersion: 'TLSv1.2';
};

type FileField = keyof TlsFiles;

/** The text of a file and the faults found in it; the text is empty if the file cannot be read. */
type LoadedFile = {
	text: string;
	faults: string[];
};

const step = 'load-tls';

const describeError = (error: unknown): string => error instanceof Error ? error.message : String(error);

const describeFile = (field: FileField, path: string): string => `tls.${field}: file "${path}"`;

/** Parsers of the files by field. They throw if a text cannot be parsed. */
const parsers: Record<FileField, (text: string) => unknown> = {
	key: text => createPrivateKey(text),
	certificate: text => new X509Certificate(text),
	authority: text => new X509Certificate(text),
};

const expectedContents: Record<FileField, string> = {
	key: 'a private key without a passphrase, in PEM form',
	certificate: 'a certificate in PEM form',
	authority: 'a certificate of an authority in PEM form',
};

const loadFile = async (field: FileField, path: string): Promise<LoadedFile> => {
	try {
		const text = await readFile(path, 'utf8');
		try {
			parsers[field](text);
			return {text, faults: []};
		} catch (error) {
			const fault = `${describeFile(field, path)} is not ${expectedContents[field]} (${describeError(error)}); give the path of one`;
			return {text, faults: [fault]};
		}
	} catch (error) {
		const fault = `${describeFile(field, path)} cannot be read (${describeError(error)}); give the path of a readable file`;
		return {text: '', faults: [fault]};
	}
};

/** Checks that a parsed key belongs to a parsed certificate, and that the certificate is valid at `now`. */
const checkPair = (files: TlsFiles, keyText: string, certificateText: string, now: number): string[] => {
	const certificate = new X509Certificate(certificateText);
	const faults: string[] = [];
	if (!certificate.checkPrivateKey(createPrivateKey(keyText))) {
		const name = describeFile('key', files.key);
		faults.push(`${name} does not belong to the certificate in "${files.certificate}"; give the private key of that certificate`);
	}

	if (now > Date.parse(certificate.validTo)) {
		const name = describeFile('certificate', files.certificate);
		faults.push(`${name} expired on ${certificate.validTo}; renew it`);
	}

	if (now < Date.parse(certificate.validFrom)) {
		const name = describeFile('certificate', files.certificate);
		faults.push(`${name} is not valid before ${certificate.validFrom}; check this host's clock or wait`);
	}

	return faults;
};

/**
Loads the files and checks that the key belongs to the certificate and that the certificate is valid at `now`, in milliseconds
since the Unix epoch. The error lists every fault with its field and how to fix it.
*/
export const loadTls = async (files: TlsFiles, now: number): Promise<Result<TlsServerOptions, Failure>> => {
	const [key, certificate, authority] = await Promise.all([
		loadFile('key', files.key),
		loadFile('certificate', files.certificate),
		files.authority === undefined ? undefined : loadFile('authority', files.authority),
	]);
	const fileFaults = [...key.faults, ...certificate.faults, ...(authority?.faults ?? [])];
	const canCheckPair = key.faults.length === 0 && certificate.faults.length === 0;
	const faults = [...fileFaults, ...(canCheckPair ? checkPair(files, key.text, certificate.text, now) : [])];
	if (faults.length > 0) {
		return new Err(new Failure(failureCode.settingsInvalid, faults.join('\n'), {step, peer: files.certificate}));
	}

	return new Ok({
		key: key.text,
		cert: certificate.text,
		...(authority && {ca: authority.text}),
		requestCert: authority !== undefined,
		rejectUnauthorized: authority !== undefined,
		minVersion: 'TLSv1.2',
	});
};
