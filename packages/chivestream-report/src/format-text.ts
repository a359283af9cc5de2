/** The report as text for a terminal. */
import {type BurnReport, type ObjectiveReport, type WindowReport} from './burn.js';

const unknownFigure = '-';
const percent = 100;

/** A share as a percentage. */
export const formatShare = (share: number | undefined): string =>
	share === undefined ? unknownFigure : `${Number((share * percent).toFixed(1))}%`;

/** A burn rate. */
export const formatRate = (rate: number | undefined): string => rate === undefined ? unknownFigure : `${Number(rate.toFixed(2))}x`;

/** The time below which a share of the answers came. */
export const formatPercentile = ({percentiles}: ObjectiveReport, wanted: number): string => {
	const found = percentiles.find(({percentile}) => percentile === wanted);
	return found ? `${found.valueMs} ms` : unknownFigure;
};

const formatJobs = ({good, bad, unknown}: WindowReport): string => `${good} good, ${bad} bad, ${unknown} unknown`;

const formatObjective = (report: ObjectiveReport): string[] => {
	const {objective, state, windows, budgetLeft} = report;
	return [
		`${objective.name}: ${state.toUpperCase()}`,
		`  ${objective.team} on ${objective.upstream}: ${formatShare(objective.goal)} within ${objective.targetMs} ms`,
		`  budget left ${formatShare(budgetLeft)}; burn rate ${formatRate(windows.short.burnRate)} over 5 min, ${formatRate(windows.long.burnRate)} over 1 h`,
		`  last hour: ${formatJobs(windows.long)}; known ${formatShare(windows.long.coverage)} of the hosts' time`,
		`  answers: p50 ${formatPercentile(report, 50)}, p90 ${formatPercentile(report, 90)}, p99 ${formatPercentile(report, 99)}`,
	];
};

/** Hosts that did not answer, one a line. */
export const formatMissing = ({missing}: BurnReport): string[] =>
	missing.map(({host, zone, reason}) => `MISSING ${host} (zone ${zone}): ${reason}`);

/** The report as text, without a final line break. */
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
