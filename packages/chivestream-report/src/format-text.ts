/** Formats the report as text for a terminal. */
import {type BurnReport, type ObjectiveReport, type WindowReport} from './burn.js';

const noValue = '-';
const percent = 100;

/** Formats a share between 0 and 1 as a percentage. */
export const formatShare = (share: number | undefined): string =>
	share === undefined ? noValue : `${Number((share * percent).toFixed(1))}%`;

/** Formats a burn rate, such as `1.25x`. */
export const formatRate = (rate: number | undefined): string => rate === undefined ? noValue : `${Number(rate.toFixed(2))}x`;

/** Formats the response time at one of the reported percentiles. */
export const formatPercentile = ({percentiles}: ObjectiveReport, requestedPercentile: number): string => {
	const entry = percentiles.find(({percentile}) => percentile === requestedPercentile);
	return entry ? `${entry.valueMs} ms` : noValue;
};

const formatJobs = ({good, bad, unknown}: WindowReport): string => `${good} good, ${bad} bad, ${unknown} unknown`;

const formatObjective = (report: ObjectiveReport): string[] => {
	const {objective, state, windows, budgetLeft} = report;
	return [
		`${objective.name}: ${state.toUpperCase()}`,
		`  ${objective.team} on ${objective.upstream}: ${formatShare(objective.goal)} within ${objective.targetMs} ms`,
		`  budget left ${formatShare(budgetLeft)}; burn rate ${formatRate(windows.short.burnRate)} over 5 min, ${formatRate(windows.long.burnRate)} over 1 h`,
		`  last hour: ${formatJobs(windows.long)}; data for ${formatShare(windows.long.coverage)} of the hosts' time`,
		`  answers: p50 ${formatPercentile(report, 50)}, p90 ${formatPercentile(report, 90)}, p99 ${formatPercentile(report, 99)}`,
	];
};

/** Lists the hosts that did not answer, one per line. */
export const formatMissing = ({missing}: BurnReport): string[] =>
	missing.map(({host, zone, reason}) => `MISSING ${host} (zone ${zone}): ${reason}`);

/** Formats the report, without a final line break. */
export const formatText = (report: BurnReport): string => {
	const objectives = report.objectives.flatMap(objective => [...formatObjective(objective), '']);
	const body = objectives.length === 0 ? ['no objective is declared', ''] : objectives;
	return [
		`service-level burn at ${new Date(report.at).toISOString()}, from ${report.hosts.length} hosts`,
		'',
		...body,
		...formatMissing(report),
	].join('\n').trimEnd();
};
