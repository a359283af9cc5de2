/** Memory and CPU time of the registry in which an entry host keeps its home keys and their answers. */
import {
	answerState, createHomeKey, formatHomeToken, type Job, type JobAnswer,
} from 'chivestream-core';
import {createJobRegistry, type JobRegistry} from 'chivestream-entry';
import {measureSlopes, type Sampling, type Slope} from '../slope.js';
import {measureCpuMs, readHeapBytes} from '../usage.js';

const unlimited = Number.MAX_SAFE_INTEGER;
const closesAt = 600_000;
const keysPerSample = 2000;
const home = formatHomeToken({hostId: 'entry-a-0', incarnation: 'mf0c2x9kab12', epoch: 12});

const createJob = (index: number): Job => ({
	key: createHomeKey(home, `caller-7/${index}`.replace('/', '-')),
	team: 'lens-desk',
	upstream: 'lens',
	isIdempotent: false,
	deadline: closesAt,
	tasks: [{payload: {box: index}, declaredMs: 100}],
});

const createAnswer = (key: string, resultBytes: number): JobAnswer => ({
	key, state: answerState.complete, results: resultBytes === 0 ? [] : [`${key}-`.padEnd(resultBytes, 'x')],
});

/** Opens a job for each key and settles it with results of the given length. */
const fillRegistry = (registry: JobRegistry, keys: number, resultBytes: number) => {
	for (let index = 0; index < keys; index++) {
		const job = createJob(index);
		const opening = registry.open(job, closesAt);
		if (opening.kind === 'opened') {
			opening.record.settle(createAnswer(job.key, resultBytes));
		}
	}
};

const createRegistry = (now: () => number) => createJobRegistry({now, maxRecords: unlimited, maxAnswerBytes: unlimited});

const measureKeys = async (keys: number) => {
	let time = 0;
	const before = await readHeapBytes();
	const registry = createRegistry(() => time);
	const open = await measureCpuMs(() => {
		fillRegistry(registry, keys, 0);
	});
	const heap = await readHeapBytes() - before;
	const idleSweep = await measureCpuMs(() => {
		registry.sweep();
	});
	time = closesAt;
	const closingSweep = await measureCpuMs(() => {
		while (registry.size() > 0) {
			registry.sweep();
		}
	});
	if (registry.size() > 0) {
		throw new Error('the registry still holds closed keys after the sweep');
	}

	return {
		heap, open, idleSweep, closingSweep,
	};
};

const measureAnswers = async (resultBytes: number) => {
	const before = await readHeapBytes();
	const registry = createRegistry(() => 0);
	fillRegistry(registry, keysPerSample, resultBytes);
	const heap = (await readHeapBytes() - before) / keysPerSample;
	const counted = registry.answerBytes() / keysPerSample;
	return {heap, counted};
};

/** Metrics by number of keys in the registry, all with empty answers. */
export const measureKeyRegistry = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'key-registry',
	size: 'remembered keys',
	units: {
		heap: 'bytes', open: 'ms of CPU', idleSweep: 'ms of CPU', closingSweep: 'ms of CPU',
	},
	measure: measureKeys,
}, sampling);

/** Memory per key by the length of its answer. */
export const measureKeptAnswers = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'kept-answers',
	size: 'bytes of the results of one answer',
	units: {heap: 'bytes per key', counted: 'bytes per key'},
	measure: measureAnswers,
}, sampling);
