/** What claims of opaque keys cost: memory and reading on every host, and appends to the log. */
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
const millisecondsPerSecond = 1000;
const claimTimeoutMs = 5000;
const settleMs = 500;

/** A key in the form of a UUID. */
const createOpaqueKey = (random: Random): string => {
	const digits = Array.from({length: 32}, () => randomInteger(random, 16).toString(16)).join('');
	return [digits.slice(0, 8), digits.slice(8, 12), digits.slice(12, 16), digits.slice(16, 20), digits.slice(20)].join('-');
};

/** A stream that makes each record when it is read and holds none. */
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
			append: async () => Err(new Failure(failureCode.logUnavailable, 'read only', {step: 'append', peer: 'log'})),
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

const measureHeld = async (claimCount: number) => {
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

const measureGroups = async (claimsPerSecond: number) => {
	const clock = createFakeClock();
	const random = createRandom(seed);
	const log = createMemoryStream(clock);
	const claims = createHostClaims(log.connect(), clock);
	const stop = new AbortController();
	void claims.follow(stop.signal);
	const confirmed: Array<Promise<unknown>> = [];
	let due = 0;
	for (let elapsedMs = 0; elapsedMs < millisecondsPerSecond; elapsedMs++) {
		due += claimsPerSecond / millisecondsPerSecond;
		for (; due >= 1; due--) {
			confirmed.push(claims.claim(createOpaqueKey(random), clock.now() + claimTimeoutMs));
		}

		await clock.advance(1); // eslint-disable-line no-await-in-loop -- time passes step by step
	}

	await clock.advance(settleMs);
	await Promise.all(confirmed);
	stop.abort();
	await clock.advance(claimTimeoutMs);
	const records = log.records();
	const appendedBytes = records.reduce((sum, {value}) => sum + JSON.stringify(value).length, 0);
	return {appends: records.length, appendedBytes};
};

/** Figures of one host by number of claims read from the log, 20 to a record. */
export const measureHeldClaims = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'claims',
	size: 'claims of opaque keys',
	units: {heap: 'bytes', read: 'ms of CPU', readBytes: 'bytes read by each host'},
	measure: measureHeld,
}, sampling);

/** Appends of one host by the claims that it makes in a second, when the log answers in 4 ms. */
export const measureClaimAppends = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'claim-appends',
	size: 'claims a second of one host',
	units: {appends: 'appends a second', appendedBytes: 'bytes a second'},
	measure: measureGroups,
}, sampling);
