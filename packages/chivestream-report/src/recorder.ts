/** Records how the jobs of one entry host count for the objectives, in a bounded series of one-minute buckets. */
import {
	answerState, bucketMs, type Clock, type HostHistory, type JobAnswer, type Objective, type ObjectiveBucket,
} from 'chivestream-core';
import {encodeIntoCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {createHistogram, recordTime} from './histogram.js';
import {classifyAnswer} from './classify-answer.js';

/** A job that completed or failed. */
export type FinishedJob = {
	team: string;
	upstream: string;
	/** Time from the submission to the complete answer, in milliseconds. */
	elapsedMs: number;
	answer: JobAnswer;
};

/** Records finished jobs and exports the recorded history. */
export type ObjectiveRecorder = {
	/** Replaces the objectives. The history of an objective whose team or upstream has changed is dropped. */
	configure: (objectives: readonly Objective[]) => void;
	/** Counts a job for every objective of its team and upstream. */
	record: (job: FinishedJob) => void;
	/** Exports the history that is kept at this time. */
	read: () => HostHistory;
};

/** The host of a recorder and the size of its history. */
export type RecorderOptions = {
	host: string;
	zone: string;
	/** Maximum number of one-minute buckets kept for one objective; 360 by default. */
	maxBuckets?: number;
};

type OpenBucket = Omit<ObjectiveBucket, 'histogram'> & {histogram: Histogram};

type ObjectiveRecord = {
	objective: Objective;
	closed: ObjectiveBucket[];
	open: OpenBucket | undefined;
};

/** Six hours of one-minute buckets, the length of the report's budget window. */
const defaultMaxBuckets = 360;

const closeBucket = ({histogram, ...counts}: OpenBucket): ObjectiveBucket => ({
	...counts, histogram: histogram.totalCount === 0 ? '' : encodeIntoCompressedBase64(histogram),
});

const createBucket = (start: number): OpenBucket => ({
	start, good: 0, bad: 0, unknown: 0, histogram: createHistogram(),
});

const coverSameJobs = (left: Objective, right: Objective): boolean =>
	left.team === right.team && left.upstream === right.upstream;

/** Creates a recorder. Its memory is bounded by the number of objectives times `maxBuckets`. */
export const createObjectiveRecorder = (clock: Clock, options: RecorderOptions): ObjectiveRecorder => {
	const {host, zone, maxBuckets = defaultMaxBuckets} = options;
	const since = clock.now();
	let records: ObjectiveRecord[] = [];

	const currentStart = (): number => Math.floor(clock.now() / bucketMs) * bucketMs;
	const oldestStart = (): number => currentStart() - ((maxBuckets - 1) * bucketMs);

	/** Returns the bucket of the current minute; closes an earlier one and drops the buckets that are too old. */
	const openCurrentBucket = (record: ObjectiveRecord): OpenBucket => {
		const start = currentStart();
		if (record.open?.start === start) {
			return record.open;
		}

		if (record.open) {
			record.closed.push(closeBucket(record.open));
		}

		record.closed = record.closed.filter(bucket => bucket.start >= oldestStart());
		record.open = createBucket(start);
		return record.open;
	};

	const readBuckets = ({closed, open}: ObjectiveRecord): ObjectiveBucket[] => {
		const buckets = open ? [...closed, closeBucket(open)] : closed;
		return buckets.filter(bucket => bucket.start >= oldestStart());
	};

	return {
		configure(objectives) {
			const previousRecords = new Map(records.map(record => [record.objective.name, record]));
			records = objectives.map(objective => {
				const record = previousRecords.get(objective.name);
				return record && coverSameJobs(record.objective, objective)
					? {...record, objective}
					: {objective, closed: [], open: undefined};
			});
		},
		record({team, upstream, elapsedMs, answer}) {
			for (const record of records.filter(({objective}) => objective.team === team && objective.upstream === upstream)) {
				const verdict = classifyAnswer(answer, elapsedMs, record.objective.targetMs);
				if (verdict !== undefined) {
					const bucket = openCurrentBucket(record);
					bucket[verdict] += 1;
					if (answer.state === answerState.complete) {
						recordTime(bucket.histogram, elapsedMs);
					}
				}
			}
		},
		read: () => ({
			host,
			zone,
			since,
			at: clock.now(),
			from: oldestStart(),
			objectives: records.map(record => ({objective: record.objective, buckets: readBuckets(record)})),
		}),
	};
};
