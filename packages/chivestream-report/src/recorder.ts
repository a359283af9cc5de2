/** Records how the jobs of one entry host count for the objectives, in a bounded ring of minute buckets. */
import {
	answerState, bucketMs, type Clock, type HostHistory, type JobAnswer, type Objective, type ObjectiveBucket,
} from 'chivestream-core';
import {encodeIntoCompressedBase64, type Histogram} from 'hdr-histogram-js';
import {createHistogram, recordTime} from './histogram.js';
import {judgeAnswer} from './judge.js';

/** A job that ended. */
export type EndedJob = {
	team: string;
	upstream: string;
	/** From the submission to the whole answer. */
	elapsedMs: number;
	answer: JobAnswer;
};

/** Records the ends of jobs and exports what it holds. */
export type ObjectiveRecorder = {
	/** Takes the objectives in force; what was recorded for one that changed its team or upstream is dropped. */
	configure: (objectives: readonly Objective[]) => void;
	record: (job: EndedJob) => void;
	read: () => HostHistory;
};

/** Where a recorder runs and how much it keeps. */
export type RecorderOptions = {
	host: string;
	zone: string;
	/** Most buckets kept for one objective. */
	maxBuckets?: number;
};

type OpenBucket = Omit<ObjectiveBucket, 'histogram'> & {histogram: Histogram};

type ObjectiveRecord = {
	objective: Objective;
	closed: ObjectiveBucket[];
	open: OpenBucket | undefined;
};

const defaultMaxBuckets = 360;

const closeBucket = ({histogram, ...counts}: OpenBucket): ObjectiveBucket => ({
	...counts, histogram: histogram.totalCount === 0 ? '' : encodeIntoCompressedBase64(histogram),
});

const openBucket = (start: number): OpenBucket => ({
	start, good: 0, bad: 0, unknown: 0, histogram: createHistogram(),
});

const isSameService = (left: Objective, right: Objective): boolean =>
	left.team === right.team && left.upstream === right.upstream;

/** Creates a recorder. Memory is bounded by the number of objectives times `maxBuckets`. */
export const createObjectiveRecorder = (clock: Clock, options: RecorderOptions): ObjectiveRecorder => {
	const {host, zone, maxBuckets = defaultMaxBuckets} = options;
	const since = clock.now();
	let records: ObjectiveRecord[] = [];

	const currentStart = (): number => Math.floor(clock.now() / bucketMs) * bucketMs;
	const oldestStart = (): number => currentStart() - ((maxBuckets - 1) * bucketMs);

	const roll = (record: ObjectiveRecord): OpenBucket => {
		const start = currentStart();
		if (record.open?.start === start) {
			return record.open;
		}

		if (record.open) {
			record.closed.push(closeBucket(record.open));
		}

		record.closed = record.closed.filter(bucket => bucket.start >= oldestStart());
		record.open = openBucket(start);
		return record.open;
	};

	const readBuckets = ({closed, open}: ObjectiveRecord): ObjectiveBucket[] => {
		const buckets = open ? [...closed, closeBucket(open)] : closed;
		return buckets.filter(bucket => bucket.start >= oldestStart());
	};

	return {
		configure(objectives) {
			const earlier = new Map(records.map(record => [record.objective.name, record]));
			records = objectives.map(objective => {
				const record = earlier.get(objective.name);
				return record && isSameService(record.objective, objective)
					? {...record, objective}
					: {objective, closed: [], open: undefined};
			});
		},
		record({team, upstream, elapsedMs, answer}) {
			for (const record of records.filter(({objective}) => objective.team === team && objective.upstream === upstream)) {
				const verdict = judgeAnswer(answer, elapsedMs, record.objective.targetMs);
				if (verdict !== undefined) {
					const bucket = roll(record);
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
