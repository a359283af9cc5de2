/** Cost of claims on opaque keys: memory and reads on every host, and appends to the log. */
import {
	createRandom, failureCode, Failure, randomInteger, silentLogger, type Clock, type Random,
} from 'chivestream-core';
import {createClaims} from 'chivestream-entry';
import {type Stream, type StreamRecord} from 'chivestream-log';
import {createFakeClock, createMemoryStream} from 'chivestream-stand-ins';
import {Err, Ok} from 'ts-results-es';
import {measureSlopes, type Sampling, type Slope} from '../slope.js';
import {measureCpuMs, readHeapBytes} from '../usage.js';

const keysPerRecord = 20;
const retentionMs = 960_000;
const seed = 1;
const self = {hostId: 'entry-a-0', incarnation: 'mf0c2x9kab12'};
const other = {hostId: 'entry-b-1', incarnation: 'mf0c2x9kcd34'};
const msPerSecond = 1000;
const claimTimeoutMs = 5000;
const settleMs = 500;

/** Creates a random key in the format of a UUID. */
const createOpaqueKey = (random: Random): string => {
	const digits = Array.from({length: 32}, () => randomInteger(random, 16).toString(16)).join('');
	return [digits.slice(0, 8), digits.slice(8, 12), digits.slice(12, 16), digits.slice(16, 20), digits.slice(20)].join('-');
};

/** Creates a stream that generates each record when it is read and stores none; `onEnd` is called when a read finds no more. */
const createGeneratedStream = (recordCount: number, now: number, onEnd: () => void): {stream: Stream; readBytes: () => number} => {
	const random = createRandom(seed);
	let readBytes = 0;
	const createRecord = (offset: number): StreamRecord => {
		const record = {offset, at: now, value: {...other, keys: Array.from({length: keysPerRecord}, () => createOpaqueKey(random))}};
		readBytes += JSON.stringify(record).length;
		return record;
	};

	return {
		readBytes: () => readBytes,
		stream: {
			append: async () => Err(new Failure(failureCode.logUnavailable, 'the stream is read-only', {step: 'append', peer: 'log'})),
			async read({from, limit}) {
				const length = Math.min(limit, recordCount - from);
				if (length <= 0) {
					onEnd();
				}

				return Ok({records: Array.from({length: Math.max(0, length)}, (_, index) => createRecord(from + index)), first: 0, next: recordCount});
			},
		},
	};
};

const createHostClaims = (stream: Stream, clock: Clock) => createClaims({
	self, stream, clock, logger: silentLogger, retentionMs,
});

/** Reads all claims from the log into an empty host. */
const measureReplay = async (claimCount: number) => {
	const clock = createFakeClock();
	const stop = new AbortController();
	const {stream, readBytes} = createGeneratedStream(claimCount / keysPerRecord, clock.now(), () => {
		stop.abort();
	});
	const before = await readHeapBytes();
	const claims = createHostClaims(stream, clock);
	const read = await measureCpuMs(async () => claims.follow(stop.signal));
	const heap = await readHeapBytes() - before;
	if (claims.size() !== claimCount) {
		throw new Error(`${claims.size()} of ${claimCount} claims were read`);
	}

	return {heap, read, readBytes: readBytes()};
};

/** Makes claims for one second at a steady rate and counts the appends. */
const measureAppends = async (claimsPerSecond: number) => {
	const clock = createFakeClock();
	const random = createRandom(seed);
	const log = createMemoryStream(clock);
	const claims = createHostClaims(log.connect(), clock);
	const stop = new AbortController();
	void claims.follow(stop.signal);
	const confirmations: Array<Promise<unknown>> = [];
	let dueClaims = 0;
	for (let elapsedMs = 0; elapsedMs < msPerSecond; elapsedMs++) {
		dueClaims += claimsPerSecond / msPerSecond;
		for (; dueClaims >= 1; dueClaims--) {
			confirmations.push(claims.claim(createOpaqueKey(random), clock.now() + claimTimeoutMs));
		}

		await clock.advance(1); // eslint-disable-line no-await-in-loop -- the clock advances one millisecond at a time
	}

	await clock.advance(settleMs);
	await Promise.all(confirmations);
	stop.abort();
	await clock.advance(claimTimeoutMs);
	const records = log.records();
	const appendedBytes = records.reduce((sum, {value}) => sum + JSON.stringify(value).length, 0);
	return {appends: records.length, appendedBytes};
};

/** Metrics of one host by number of claims read from the log, with 20 claims in each record. */
export const measureHeldClaims = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'claims',
	size: 'claims of opaque keys',
	units: {heap: 'bytes', read: 'ms of CPU', readBytes: 'bytes read by each host'},
	measure: measureReplay,
}, sampling);

/** Appends of one host by the claims that it makes per second, when the log responds in 4 ms. */
export const measureClaimAppends = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'claim-appends',
	size: 'claims a second of one host',
	units: {appends: 'appends a second', appendedBytes: 'bytes a second'},
	measure: measureAppends,
}, sampling);
