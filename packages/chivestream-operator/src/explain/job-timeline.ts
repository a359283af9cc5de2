/** The timeline of one job, built from the logs of several entry hosts. */
import {type LogLine} from './log-line.js';

/** The log lines that concern one job, sorted by time, and a summary of the outcome. */
export type JobTimeline = {
	/** `isAboutJob` is false for lines that only show the state of the hosts and minions around that time. */
	entries: Array<{line: LogLine; isAboutJob: boolean}>;
	/** One line that summarizes the answer, a refusal and the losses of dispatchers. */
	conclusion: string;
};

/**
How long before the job's first line host and minion events are included, in milliseconds. The loss of a host or a minion is
detected within this time.
*/
const contextBeforeMs = 3000;

/**
How long after the job's last line host and minion events are included, in milliseconds. A dispatcher stops the runs of a lost
host's jobs within 700 ms.
*/
const contextAfterMs = 1000;

/** Log events of a host about its process, its store, its dispatcher and its configuration. */
const hostEvents = new Set([
	'started',
	'stopping',
	'stopped',
	'frozen',
	'store-lost',
	'store-regained',
	'dispatcher-chosen',
	'dispatching',
	'dispatching-ended',
	'declarations-in-force',
	'could-not-start',
]);

/** Log events of a dispatcher about minions that become unavailable or available again. */
const minionEvents = new Set(['minion-unreachable', 'minion-reached', 'minion-quarantined', 'minion-gone', 'minion-reborn', 'minion-crashed']);

const formatValue = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value) ?? '';

const isTaskOf = (task: unknown, id: string): boolean => typeof task === 'string' && task.startsWith(`${id}.`);

/** Whether a line is about the job, one of its tasks, or a minion that crashed with one of its runs. */
const refersToJob = ({fields}: LogLine, id: string): boolean =>
	fields.job === id || isTaskOf(fields.task, id)
	|| (Array.isArray(fields.runs) && fields.runs.some((run: unknown) => typeof run === 'object' && run !== null && 'task' in run && isTaskOf(run.task, id)));

/** Whether a line shows the state of the given hosts; events about a link count only if both of its hosts are among them. */
const isContext = (line: LogLine, hosts: ReadonlySet<string>): boolean => {
	if (!hosts.has(line.host)) {
		return false;
	}

	if (line.message === 'link') {
		return hosts.has(formatValue(line.fields.peer));
	}

	return hostEvents.has(line.message) || minionEvents.has(line.message);
};

const describeAnswer = ({host, fields}: LogLine): string => {
	const reason = fields.reason === undefined ? '' : `: ${formatValue(fields.reason)}`;
	return `${formatValue(fields.outcome)} by ${host} after ${formatValue(fields.tookMs)} ms${reason}`;
};

/** Describes the dispatcher's load and minions at the time it refused the job. */
const describeRefusal = ({host, fields}: LogLine): string =>
	`${host} had ${formatValue(fields.aheadMs)} ms of work ahead of it, ${formatValue(fields.parallelTasks)} tasks in parallel, `
	+ `${formatValue(fields.usableMinions)} of ${formatValue(fields.minions)} minions accepting work`;

const createConclusion = (jobLines: readonly LogLine[], contextLines: readonly LogLine[]): string => {
	const answer = jobLines.findLast(line => line.message === 'job-answered');
	const departure = jobLines.findLast(line => line.message === 'caller-left');
	const refusal = jobLines.findLast(line => line.message === 'job-turned-away');
	const dispatcherLosses = jobLines.filter(line => line.message === 'dispatcher-lost').length;
	const minionCrashes = jobLines.filter(line => line.message === 'minion-crashed').length;
	const hostStops = contextLines.filter(line => line.message === 'stopped' || line.message === 'frozen').map(({host, message}) => `; ${host} ${message}`);
	const parts: string[] = [];
	if (answer !== undefined) {
		parts.push(describeAnswer(answer));
	} else if (departure === undefined) {
		parts.push(`no host has logged an answer: the host that accepted the job was killed or cut off${hostStops.join('')}`);
	}

	if (departure !== undefined) {
		parts.push(`the caller left ${formatValue(departure.fields.afterMs)} ms after its request`);
	}

	if (refusal !== undefined) {
		parts.push(describeRefusal(refusal));
	}

	if (dispatcherLosses > 0) {
		parts.push(`its dispatcher was lost ${dispatcherLosses} times`);
	}

	if (minionCrashes > 0) {
		parts.push(`minions that crashed with one of its runs: ${minionCrashes}`);
	}

	return parts.join('; ');
};

/** Builds the timeline of a job; undefined if no line refers to the job. */
export const buildJobTimeline = (id: string, lines: readonly LogLine[]): JobTimeline | undefined => {
	const jobLines = lines.filter(line => refersToJob(line, id)).toSorted((one, other) => one.time - other.time);
	const [first] = jobLines;
	const last = jobLines.at(-1);
	if (first === undefined || last === undefined) {
		return undefined;
	}

	const hosts = new Set(jobLines.flatMap(line => line.fields.dispatcher === undefined ? [line.host] : [line.host, formatValue(line.fields.dispatcher)]));
	const contextLines = lines.filter(line => !refersToJob(line, id)
		&& line.time >= first.time - contextBeforeMs && line.time <= last.time + contextAfterMs && isContext(line, hosts));
	const entries = [
		...jobLines.map(line => ({line, isAboutJob: true})),
		...contextLines.map(line => ({line, isAboutJob: false})),
	].toSorted((one, other) => one.line.time - other.line.time);
	return {entries, conclusion: createConclusion(jobLines, contextLines)};
};

/** Formats a timeline as text. Times are relative to the job's first line; the job's own lines are marked with a star. */
export const formatJobTimeline = ({entries, conclusion}: JobTimeline): string => {
	const startTime = entries.find(entry => entry.isAboutJob)?.line.time ?? 0;
	const rows = entries.map(({line, isAboutJob}) => {
		const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${formatValue(value)}`);
		return `${isAboutJob ? '*' : ' '} ${String(line.time - startTime).padStart(6)} ms  ${line.host}  ${line.message}  ${fields.join(' ')}`;
	});
	return [...rows, '', conclusion].join('\n');
};
