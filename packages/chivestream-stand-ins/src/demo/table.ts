/** The result of the demo as a short table. */
import {type DemoResult} from './demo.js';
import {isSound} from './verdict.js';

/** Longest time after which a drained minion may still get a task. */
const leaveLimitMs = 3000;

/** What is wrong with a run; empty when nothing is. */
export const findFaults = ({verdict, events, newWorkAfterLeaveMs}: DemoResult): string[] => {
	const faults: string[] = [];
	if (!isSound(verdict)) {
		faults.push('a promise was broken: see the counts above');
	}

	if (events.drainedEnd.code !== 0) {
		faults.push(`the drained entry host ended with ${events.drainedEnd.code ?? events.drainedEnd.signal}`);
	}

	if (newWorkAfterLeaveMs > leaveLimitMs) {
		faults.push(`the drained minion got a task after ${newWorkAfterLeaveMs} ms`);
	}

	if (verdict.complete === 0) {
		faults.push('no job was complete');
	}

	return faults;
};

const formatFailures = (failed: Record<string, number>): string => {
	const parts = Object.entries(failed).map(([code, count]) => `${count} ${code}`);
	return parts.length === 0 ? '0' : parts.join(', ');
};

/** A label and its value. */
export type Row = [label: string, value: string | number];

/** The rows of the table. */
export const createRows = (result: DemoResult): Row[] => {
	const {verdict, events, wasted} = result;
	const {violations} = verdict;
	return [
		['jobs', verdict.jobs],
		['  complete', verdict.complete],
		['  failed', formatFailures(verdict.failed)],
		['  gave up waiting, asked again', formatFailures(verdict.giveUps)],
		['  resubmissions', wasted.resubmissions],
		['tasks', verdict.tasks],
		['  starts counted by the minions', verdict.starts],
		['started twice', violations.startedTwice],
		['partial answers', violations.partial],
		['crossed answers', violations.crossed],
		['unanswered', violations.unanswered],
		['"not run" but ran', violations.notRunButRan],
		['cut by the planned stop', violations.cutByStop],
		['response ratio p50', verdict.ratio.p50],
		['response ratio p99', verdict.ratio.p99],
		...Object.entries(verdict.ratioByUpstream).map(([upstream, {p50, p99}]): Row => [`  ${upstream}, p50 and p99`, `${p50}, ${p99}`]),
		['wasted messages per task', wasted.perTask.toFixed(3)],
		['  forwards, loan requests, refusals', `${wasted.forwards}, ${wasted.loanRequests}, ${wasted.refusals}`],
		['configuration change in force, ms', result.configurationInForceMs],
		['new work after a minion left, ms', result.newWorkAfterLeaveMs],
		['entry host killed', events.killedHostId],
		['entry host drained', `${events.drainedHostId} (exit code ${events.drainedEnd.code ?? 'none'})`],
	];
};

/** The rows as text in two columns. */
export const formatTable = (rows: readonly Row[]): string => {
	const width = Math.max(...rows.map(([label]) => label.length));
	return rows.map(([label, value]) => `${label.padEnd(width)}  ${value}`).join('\n');
};
