/** Judges a run by what minions started and callers were told, never by the dispatcher's own books. */
import {answerState, type JobAnswer} from 'chivestream-core';
import {type CallerJob} from './callers.js';
import {formatTask, resultOf, type TaskStart} from './memory-minions.js';

/** Violations of the promises about jobs. */
export type JobVerdict = {
	startedTwice: number;
	partialAnswers: number;
	unanswered: number;
	notRunButRan: number;
	crossedAnswers: number;
	nonIdempotentTwice: number;
};

/** Starts by `key/index`. */
export type Starts = ReadonlyMap<string, readonly TaskStart[]>;

const startsOf = ({job}: CallerJob, starts: Starts): Array<readonly TaskStart[]> =>
	job.tasks.map((_, index) => starts.get(formatTask(job.key, index)) ?? []);

const answersOf = ({calls, otherAnswers}: CallerJob): JobAnswer[] => [
	...calls.flatMap(({end}) => end?.kind === 'answered' ? [end.answer] : []),
	...otherAnswers,
];

const isPartial = ({job}: CallerJob, answer: JobAnswer): boolean => {
	if (answer.state === answerState.failed) {
		return 'results' in answer;
	}

	return answer.results.length !== job.tasks.length || job.tasks.some((_, index) => answer.results[index] === undefined);
};

const isCrossed = ({job}: CallerJob, answer: JobAnswer): boolean => answer.key !== job.key
	|| (answer.state === answerState.complete && job.tasks.some(({payload}, index) => {
		const result = answer.results[index];
		return result !== undefined && JSON.stringify(result) !== JSON.stringify(resultOf(payload));
	}));

/** Whether an answer says of more tasks than is true that they did not run. */
const isFalselyNotRun = (known: CallerJob, answer: JobAnswer, starts: Starts): boolean => {
	if (answer.state === answerState.complete) {
		return false;
	}

	const started = startsOf(known, starts).filter(list => list.length > 0).length;
	const {notRun, tasks} = answer.failure;
	return notRun ? started > 0 : started > known.job.tasks.length - tasks.notRun;
};

const count = <Element>(elements: readonly Element[], isCounted: (element: Element) => boolean): number => elements.filter(element => isCounted(element)).length;

/** The verdict on the jobs of a run that has ended. */
export const judgeJobs = (jobs: readonly CallerJob[], starts: Starts): JobVerdict => {
	const verdict: JobVerdict = {
		startedTwice: 0, partialAnswers: 0, unanswered: 0, notRunButRan: 0, crossedAnswers: 0, nonIdempotentTwice: 0,
	};
	for (const known of jobs) {
		const answers = answersOf(known);
		const twice = count(startsOf(known, starts), list => list.length > 1);
		verdict.startedTwice += twice;
		verdict.nonIdempotentTwice += known.job.isIdempotent ? 0 : twice;
		verdict.partialAnswers += count(answers, answer => isPartial(known, answer));
		verdict.crossedAnswers += count(answers, answer => isCrossed(known, answer));
		verdict.notRunButRan += count(answers, answer => isFalselyNotRun(known, answer, starts));
		verdict.unanswered += answers.length === 0 || known.calls.some(({end}) => end === undefined) ? 1 : 0;
	}

	return verdict;
};
