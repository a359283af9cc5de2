/**
What a home remembers of its keys. A record is made before anything starts and outlives the answer, so that a copy of
a submission joins it or gets its answer and never starts a second run.
*/
import {
	answerState,
	createFailedAnswer,
	digestText,
	failureCode,
	noneRun,
	type Job,
	type JobAnswer,
} from 'chivestream-core';
import {createHeap} from 'chivestream-placement';

/** What is remembered of one key. */
export type JobRecord = {
	key: string;
	/** Content of the submission; undefined where the key was closed before any came. */
	digest: string | undefined;
	/** Time from which the key is refused for its age, so that the record may be dropped. */
	closesAt: number;
	/** Resolves with the whole answer. */
	answered: Promise<JobAnswer>;
	/** The whole answer, once it is there. */
	answer?: JobAnswer;
	answerBytes: number;
	/** Settles the record; later calls change nothing. */
	settle: (answer: JobAnswer) => void;
};

/** What became of a submission at the registry. */
export type OpenResult
	= | {kind: 'opened'; record: JobRecord}
		| {kind: 'joined'; record: JobRecord}
		| {kind: 'reused'}
		| {kind: 'full'};

/** Bounds of what a home remembers. */
export type JobRegistryOptions = {
	now: () => number;
	maxRecords: number;
	maxAnswerBytes: number;
};

/** Remembers keys within bounds. */
export type JobRegistry = {
	/** Opens a record for a job, or joins the one that its key has. */
	open: (job: Job, closesAt: number) => OpenResult;
	get: (key: string) => JobRecord | undefined;
	/** Closes a key that has no record: every copy gets the given answer. */
	close: (key: string, answer: JobAnswer, closesAt: number) => void;
	/** Forgets a key of which it is certain that this host started nothing and will start nothing. */
	discard: (key: string) => void;
	/** Drops records whose keys are closed, a bounded number at a time. */
	sweep: () => void;
	size: () => number;
	answerBytes: () => number;
};

/** Identifies a submission's content; the deadline may differ between copies. */
export const digestJob = (job: Job): string =>
	digestText(JSON.stringify([job.team, job.upstream, job.isIdempotent, job.tasks]));

const maxDropsPerSweep = 1000;

const createDroppedAnswer = (answer: JobAnswer): JobAnswer => {
	const taskCount = answer.state === answerState.complete ? answer.results.length : 0;
	const counts = answer.state === answerState.complete
		? {...noneRun(0), completed: taskCount}
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

/** An empty registry. */
export const createJobRegistry = ({now, maxRecords, maxAnswerBytes}: JobRegistryOptions): JobRegistry => {
	const records = new Map<string, JobRecord>();
	const recordsWithAnswer = new Set<JobRecord>();
	/** Records by the time at which their keys close, so that a sweep touches no other. */
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

	/** Drops a record whose key is closed; one that still waits for its answer stays until that is there. */
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
			// All keys of an epoch close at once; dropped in one piece they would hold up everything else.
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
