/** The story of one job, told from the logs of several entry hosts. */
import {type LogLine} from './log-line.js';

/** The lines that tell of a job, in the order of time, and what they come to. */
export type Story = {
	entries: Array<{line: LogLine; isAboutJob: boolean}>;
	conclusion: string;
};

/** How long before a job's first line the state of its hosts and minions is of interest, in milliseconds: the time in which a
 * host or a minion that is lost is noticed. */
const beforeMs = 3000;

/** How long after its last line, in milliseconds: a dispatcher stops the runs of a lost host's jobs within 700 ms. */
const afterMs = 1000;

/** What hosts say of themselves and of what they believe. */
const hostMessages = new Set([
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

/** What a dispatcher says of minions that take no work. */
const minionMessages = new Set(['minion-unreachable', 'minion-reached', 'minion-quarantined', 'minion-gone', 'minion-reborn']);

const textOf = (value: unknown): string => typeof value === 'string' ? value : JSON.stringify(value) ?? '';

const isAbout = ({fields}: LogLine, id: string): boolean =>
	fields.job === id || (typeof fields.task === 'string' && fields.task.startsWith(`${id}.`));

const isContext = (line: LogLine, hosts: ReadonlySet<string>): boolean => {
	if (!hosts.has(line.host)) {
		return false;
	}

	if (line.message === 'link') {
		return hosts.has(textOf(line.fields.peer));
	}

	return hostMessages.has(line.message) || minionMessages.has(line.message);
};

const describe = ({host, fields}: LogLine): string => {
	const reason = fields.reason === undefined ? '' : `: ${textOf(fields.reason)}`;
	return `${textOf(fields.outcome)} by ${host} after ${textOf(fields.tookMs)} ms${reason}`;
};

/** What was known where a dispatcher turned the job away. */
const describeTurnedAway = ({host, fields}: LogLine): string =>
	`${host} had ${textOf(fields.aheadMs)} ms of work ahead of it, ${textOf(fields.parallelTasks)} tasks side by side, `
	+ `${textOf(fields.usableMinions)} of ${textOf(fields.minions)} minions taking work`;

const conclude = (own: readonly LogLine[], context: readonly LogLine[]): string => {
	const answered = own.findLast(line => line.message === 'job-answered');
	const left = own.findLast(line => line.message === 'caller-left');
	const turnedAway = own.findLast(line => line.message === 'job-turned-away');
	const handovers = own.filter(line => line.message === 'dispatcher-lost').length;
	const stops = context.filter(line => line.message === 'stopped' || line.message === 'frozen').map(({host, message}) => `; ${host} ${message}`);
	const parts: string[] = [];
	if (answered !== undefined) {
		parts.push(describe(answered));
	} else if (left === undefined) {
		parts.push(`no host has logged an answer: the host that took the job was killed or cut off${stops.join('')}`);
	}

	if (left !== undefined) {
		parts.push(`the caller left ${textOf(left.fields.afterMs)} ms after it had asked`);
	}

	if (turnedAway !== undefined) {
		parts.push(describeTurnedAway(turnedAway));
	}

	if (handovers > 0) {
		parts.push(`its dispatcher was lost ${handovers} times`);
	}

	return parts.join('; ');
};

/** Tells the story of a job; undefined where no line names it. */
export const tellStory = (id: string, lines: readonly LogLine[]): Story | undefined => {
	const own = lines.filter(line => isAbout(line, id)).toSorted((one, other) => one.time - other.time);
	const [first] = own;
	const last = own.at(-1);
	if (first === undefined || last === undefined) {
		return undefined;
	}

	const hosts = new Set(own.flatMap(line => line.fields.dispatcher === undefined ? [line.host] : [line.host, textOf(line.fields.dispatcher)]));
	const context = lines.filter(line => !isAbout(line, id)
		&& line.time >= first.time - beforeMs && line.time <= last.time + afterMs && isContext(line, hosts));
	const entries = [
		...own.map(line => ({line, isAboutJob: true})),
		...context.map(line => ({line, isAboutJob: false})),
	].toSorted((one, other) => one.line.time - other.line.time);
	return {entries, conclusion: conclude(own, context)};
};

/** The story as text: times count from the job's first line, its own lines are marked with a star. */
export const formatStory = ({entries, conclusion}: Story): string => {
	const begin = entries.find(entry => entry.isAboutJob)?.line.time ?? 0;
	const rows = entries.map(({line, isAboutJob}) => {
		const fields = Object.entries(line.fields).map(([name, value]) => `${name}=${textOf(value)}`);
		return `${isAboutJob ? '*' : ' '} ${String(line.time - begin).padStart(6)} ms  ${line.host}  ${line.message}  ${fields.join(' ')}`;
	});
	return [...rows, '', conclusion].join('\n');
};
