/** Formats answers as text for a terminal. */
import {
	type Answer, type CancellationAnswer, type ChangeAnswer, type Difference, type HistoryAnswer, type InForceStatus, type PlanAnswer,
	type RowsAnswer,
} from '../answers.js';
import {submissionOutcome} from '../source.js';
import {type Column, columnsByTable, isTableName} from '../tables/columns.js';
import {formatCell, formatTable, formatTime} from './format-table.js';

type MissingHosts = RowsAnswer['missing'];

const formatMissing = (missing: MissingHosts): string[] =>
	missing.map(({host, zone, reason}) => `NO ANSWER from ${host} (zone ${zone}): ${reason}`);

const formatCount = (count: number, noun: string): string => `${count} ${noun}${count === 1 ? '' : 's'}`;

const formatRows = ({table, rows, missing}: RowsAnswer): string[] => {
	const columns: readonly Column[] = isTableName(table) ? columnsByTable[table] : [];
	const cells = rows.map(row => columns.map(column => formatCell(column, row[column.name])));
	const summary = missing.length === 0
		? `${formatCount(rows.length, 'row')} from all hosts`
		: `${formatCount(rows.length, 'row')}, incomplete: ${formatCount(missing.length, 'host')} missing`;
	return [...formatTable(columns.map(column => column.name), cells), '', summary, ...formatMissing(missing)];
};

const formatCancellation = ({jobs, missing}: CancellationAnswer): string[] => [
	...formatTable(['key', 'outcome', 'reason'], jobs.map(({key, outcome, reason}) => [key, outcome, reason ?? '-'])),
	'',
	formatCount(jobs.length, 'job'),
	...formatMissing(missing),
];

const differenceMark = {added: '+', removed: '-', changed: '~'} as const;

const formatDifference = ({path, kind, before, after}: Difference): string => {
	const mark = differenceMark[kind];
	if (kind === 'changed') {
		return `${mark} ${path}: ${JSON.stringify(before)} -> ${JSON.stringify(after)}`;
	}

	return `${mark} ${path}: ${JSON.stringify(kind === 'added' ? after : before)}`;
};

const formatPlan = ({baseVersion, differences}: PlanAnswer): string[] => {
	if (differences.length === 0) {
		return [`nothing to change: version ${baseVersion} is what the file says`];
	}

	return [
		...differences.map(difference => formatDifference(difference)),
		'',
		`${formatCount(differences.length, 'difference')} from version ${baseVersion}; put it in force by: apply FILE on version ${baseVersion}`,
	];
};

const formatInForce = (version: number, {hosts, behind, missing}: InForceStatus): string[] => [
	`in force on ${formatCount(hosts.length, 'host')}: ${hosts.map(({host}) => host).join(', ')}`,
	...behind.map(({host, zone, version: currentVersion}) => `BEHIND: ${host} (zone ${zone}) still has version ${currentVersion}, not ${version}`),
	...formatMissing(missing),
];

const formatChange = (answer: ChangeAnswer): string[] => {
	const {
		outcome, version = 0, baseVersion, commandId, faults = [], reason, beatenBy, inForce,
	} = answer;
	switch (outcome) {
		case submissionOutcome.accepted: {
			return [`accepted as version ${version} (command ${commandId})`, ...inForce ? formatInForce(version, inForce) : []];
		}

		case submissionOutcome.beaten: {
			const acceptedCommand = beatenBy === undefined ? '' : ` by command ${beatenBy}`;
			return [`NOT APPLIED: version ${version}${acceptedCommand} came first; this change was made from version ${baseVersion}`];
		}

		case submissionOutcome.invalid: {
			return ['NOT APPLIED: not valid', ...faults.map(fault => `  ${fault}`)];
		}

		case submissionOutcome.unknown: {
			return [
				`UNKNOWN whether it took effect: ${reason ?? 'no reason given'}`,
				`send it again with --command-id ${commandId} --base-version ${baseVersion}`,
			];
		}
	}
};

const formatHistory = ({entries}: HistoryAnswer): string[] => formatTable(
	['version', 'offset', 'at', 'command', 'change'],
	entries.map(({
		version, offset, at, commandId, summary,
	}) => [String(version), String(offset), at === undefined ? '-' : formatTime(at), commandId, summary]),
);

const formatLines = (answer: Answer): string[] => {
	switch (answer.kind) {
		case 'rows': {
			return formatRows(answer);
		}

		case 'cancellation': {
			return formatCancellation(answer);
		}

		case 'plan': {
			return formatPlan(answer);
		}

		case 'change': {
			return formatChange(answer);
		}

		case 'history': {
			return formatHistory(answer);
		}

		case 'fault': {
			return [answer.text];
		}

		case 'error': {
			return [`${answer.code} at step ${answer.step} with ${answer.peer}: ${answer.message}`];
		}
	}
};

/** Formats an answer, without a final line break. */
export const formatAnswer = (answer: Answer): string => formatLines(answer).join('\n');
