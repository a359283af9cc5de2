/**
Counts violations of the guarantees about jobs. The only sources are the starts that minions recorded and the answers
that callers received, because the state of the dispatcher may contain the fault.
*/
import {answerState, type JobAnswer} from 'chivestream-core';
import {type CallerJob} from './callers.js';
import {formatTask, expectedResult, type TaskStart} from './memory-minions.js';

/** Number of violations of each guarantee about jobs. */
export type JobViolations = {
	/** Tasks that started more than once. */
	startedTwice: number;
	/** Complete answers without the results of all tasks, and failed answers with results. */
	partialAnswers: number;
	/** Jobs without an answer or with a call that has not ended. */
	unanswered: number;
	/** Answers that report more tasks as "not run" than did not start. */
	notRunButRan: number;
	/** Answers with the key of another job or with the result of another task. */
	crossedAnswers: number;
	/** Tasks of non-idempotent jobs that started more than once. */
	nonIdempotentTwice: number;
};

/** Starts of each task, by `key/index`. */
export type StartsByTask = ReadonlyMap<string, readonly TaskStart[]>;

const startsPerTask = ({job}: CallerJob, starts: StartsByTask): Array<readonly TaskStart[]> =>
	job.tasks.map((_, index) => starts.get(formatTask(job.key, index)) ?? []);

const receivedAnswers = ({calls, otherAnswers}: CallerJob): JobAnswer[] => [
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
		return result !== undefined && JSON.stringify(result) !== JSON.stringify(expectedResult(payload));
	}));

/** Whether an answer reports more tasks as "not run" than did not start. */
const overstatesNotRun = (callerJob: CallerJob, answer: JobAnswer, starts: StartsByTask): boolean => {
	if (answer.state === answerState.complete) {
		return false;
	}

	const startedTasks = startsPerTask(callerJob, starts).filter(taskStarts => taskStarts.length > 0).length;
	const {notRun, tasks} = answer.failure;
	return notRun ? startedTasks > 0 : startedTasks > callerJob.job.tasks.length - tasks.notRun;
};

const count = <Element>(elements: readonly Element[], isCounted: (element: Element) => boolean): number => elements.filter(element => isCounted(element)).length;

/** Counts the violations of a run that has ended. */
export const countViolations = (jobs: readonly CallerJob[], starts: StartsByTask): JobViolations => {
	const totals: JobViolations = {
		startedTwice: 0, partialAnswers: 0, unanswered: 0, notRunButRan: 0, crossedAnswers: 0, nonIdempotentTwice: 0,
	};
	for (const callerJob of jobs) {
		const answers = receivedAnswers(callerJob);
		const restartedTasks = count(startsPerTask(callerJob, starts), taskStarts => taskStarts.length > 1);
		totals.startedTwice += restartedTasks;
		totals.nonIdempotentTwice += callerJob.job.isIdempotent ? 0 : restartedTasks;
		totals.partialAnswers += count(answers, answer => isPartial(callerJob, answer));
		totals.crossedAnswers += count(answers, answer => isCrossed(callerJob, answer));
		totals.notRunButRan += count(answers, answer => overstatesNotRun(callerJob, answer, starts));
		totals.unanswered += answers.length === 0 || callerJob.calls.some(({end}) => end === undefined) ? 1 : 0;
	}

	return totals;
};
