/**
Registry of the keys that this host runs. A record is created before any task starts and is kept after the answer, so
that a copy of a submission waits for the first run or receives its answer, and never starts a second run.
*/
import {
	answerState,
	createFailedAnswer,
	digestText,
	failureCode,
	notRunCounts,
	type Job,
	type JobAnswer,
} from 'chivestream-core';
import {createHeap} from 'chivestream-placement';

/** The registry's record of one key. */
export type JobRecord = {
	key: string;
	/** Digest of the submission's content; undefined if the key was closed before a submission arrived. */
	digest: string | undefined;
	/** Time from which the key is refused as too old, so that its record can be dropped; milliseconds since the Unix epoch. */
	closesAt: number;
	/** Resolves with the whole answer. */
	answered: Promise<JobAnswer>;
	/** The whole answer; undefined while the job runs. */
	answer?: JobAnswer;
	/** Size that the answer adds to the registry's total, in characters of JSON; 0 for a failure. */
	answerBytes: number;
	/** Sets the answer; only the first call has an effect. */
	settle: (answer: JobAnswer) => void;
};

/** Result of `open`: a new record, the record of an earlier copy, a key used for other content, or a full registry. */
export type OpenResult
	= | {kind: 'opened'; record: JobRecord}
		| {kind: 'joined'; record: JobRecord}
		| {kind: 'reused'}
		| {kind: 'full'};

/** Clock and limits of a registry. */
export type JobRegistryOptions = {
	now: () => number;
	/** Most keys held at a time; further ones are refused. */
	maxRecords: number;
	/** Total size of the answers held; beyond it, the oldest ones are dropped. */
	maxAnswerBytes: number;
};

/** Holds records of keys within limits. */
export type JobRegistry = {
	/** Creates a record for a job, or returns the one that its key has. */
	open: (job: Job, closesAt: number) => OpenResult;
	get: (key: string) => JobRecord | undefined;
	/** Creates a record with the given answer for a key that has none, so that every later copy receives this answer. */
	close: (key: string, answer: JobAnswer, closesAt: number) => void;
	/** Removes the record of a key. Call it only if this host has started no task of the key and will start none. */
	discard: (key: string) => void;
	/** Drops records whose keys are closed, up to a fixed number per call. */
	sweep: () => void;
	/** Number of keys held. */
	size: () => number;
	/** Total size of the answers held, in characters of JSON. */
	answerBytes: () => number;
};

/** Digest of a submission's content. The deadline is left out because it may differ between copies. */
export const digestJob = (job: Job): string =>
	digestText(JSON.stringify([job.team, job.upstream, job.isIdempotent, job.tasks]));

const maxDropsPerSweep = 1000;

const createDroppedAnswer = (answer: JobAnswer): JobAnswer => {
	const taskCount = answer.state === answerState.complete ? answer.results.length : 0;
	const counts = answer.state === answerState.complete
		? {...notRunCounts(0), completed: taskCount}
		: answer.failure.tasks;
	const failure = {
		code: failureCode.keyClosed,
		message: 'the job ended; its answer is no longer kept',
		step: 'fetch',
		peer: answer.key,
	};
	return createFailedAnswer(answer.key, failure, false, counts);
};

const estimateAnswerBytes = (answer: JobAnswer): number => answer.state === answerState.complete ? JSON.stringify(answer.results).length : 0;

/** Creates an empty registry. */
export const createJobRegistry = ({now, maxRecords, maxAnswerBytes}: JobRegistryOptions): JobRegistry => {
	const records = new Map<string, JobRecord>();
	const recordsWithAnswer = new Set<JobRecord>();
	/** Records ordered by the time at which their keys close, so that a sweep visits only closed ones. */
	const recordsByCloseTime = createHeap<JobRecord>((left, right) => left.closesAt < right.closesAt);
	let answerBytes = 0;

	const dropAnswer = (record: JobRecord) => {
		if (!record.answer || !recordsWithAnswer.delete(record)) {
			return;
		}

		answerBytes -= record.answerBytes;
		record.answerBytes = 0;
		record.answer = createDroppedAnswer(record.answer);
		record.answered = Promise.resolve(record.answer);
	};

	const keepAnswer = (record: JobRecord, answer: JobAnswer) => {
		record.answer = answer;
		record.answerBytes = estimateAnswerBytes(answer);
		if (record.answerBytes === 0) {
			return;
		}

		answerBytes += record.answerBytes;
		recordsWithAnswer.add(record);
		for (const oldest of recordsWithAnswer) {
			if (answerBytes <= maxAnswerBytes) {
				break;
			}

			dropAnswer(oldest);
		}
	};

	/** Drops a record whose key is closed. A record without an answer is dropped as soon as it is answered. */
	const dropRecord = (record: JobRecord) => {
		if (records.get(record.key) !== record) {
			return;
		}

		if (!record.answer) {
			void record.answered.then(() => {
				dropRecord(record);
			});
			return;
		}

		dropAnswer(record);
		records.delete(record.key);
	};

	const addRecord = (record: JobRecord) => {
		records.set(record.key, record);
		recordsByCloseTime.push(record);
	};

	const createRecord = (key: string, digest: string | undefined, closesAt: number): JobRecord => {
		let resolveAnswer: (answer: JobAnswer) => void;
		const answered = new Promise<JobAnswer>(resolve => {
			resolveAnswer = resolve;
		});
		const record: JobRecord = {
			key,
			digest,
			closesAt,
			answered,
			answerBytes: 0,
			settle(answer) {
				if (record.answer) {
					return;
				}

				resolveAnswer(answer);
				keepAnswer(record, answer);
			},
		};
		return record;
	};

	return {
		open(job, closesAt) {
			const digest = digestJob(job);
			const existing = records.get(job.key);
			if (existing) {
				const isSame = existing.digest === undefined || existing.digest === digest;
				return isSame ? {kind: 'joined', record: existing} : {kind: 'reused'};
			}

			if (records.size >= maxRecords) {
				return {kind: 'full'};
			}

			const record = createRecord(job.key, digest, closesAt);
			addRecord(record);
			return {kind: 'opened', record};
		},
		get: key => records.get(key),
		close(key, answer, closesAt) {
			if (!records.has(key) && records.size < maxRecords) {
				const record = createRecord(key, undefined, closesAt);
				record.settle(answer);
				addRecord(record);
			}
		},
		discard(key) {
			const record = records.get(key);
			if (record) {
				dropAnswer(record);
				records.delete(key);
			}
		},
		sweep() {
			// All keys of an epoch close at the same time. Dropping them in a single call would block the event loop.
			for (let drops = 0; drops < maxDropsPerSweep; drops += 1) {
				const record = recordsByCloseTime.peek();
				if (!record || record.closesAt > now()) {
					return;
				}

				recordsByCloseTime.pop();
				dropRecord(record);
			}
		},
		size: () => records.size,
		answerBytes: () => answerBytes,
	};
};
