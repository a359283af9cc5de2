/** Renders the plots of the report as inline SVG. */
import {bucketMs} from 'chivestream-core';
import {type MinuteCounts, type ObjectiveReport, windowMs} from './burn.js';

const width = 640;
const height = 140;
const margin = {
	left: 52, right: 8, top: 8, bottom: 24,
} as const;
const plotWidth = width - margin.left - margin.right;
const plotHeight = height - margin.top - margin.bottom;
const timeAxisIntervals = 4;

const roundCoordinate = (number: number): number => Number(number.toFixed(1));

const renderPlot = (label: string, content: string[]): string => [
	`<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="${label}">`,
	`<rect class="frame" x="${margin.left}" y="${margin.top}" width="${plotWidth}" height="${plotHeight}"/>`,
	...content,
	'</svg>',
].join('\n');

const axisText = (x: number, y: number, text: string, anchor: string): string =>
	`<text x="${roundCoordinate(x)}" y="${roundCoordinate(y)}" text-anchor="${anchor}">${text}</text>`;

const formatTimeOfDay = (time: number): string => new Date(time).toISOString().slice(11, 16);

const timeAxis = (start: number, end: number): string[] => Array.from({length: timeAxisIntervals + 1}, (_, index) => {
	const time = start + ((end - start) * index / timeAxisIntervals);
	const anchor = index === timeAxisIntervals ? 'end' : 'middle';
	return axisText(margin.left + (plotWidth * index / timeAxisIntervals), height - 6, formatTimeOfDay(time), anchor);
});

const stackOrder = ['good', 'bad', 'unknown'] as const;

const renderStackedBar = (minute: MinuteCounts, x: number, barWidth: number, maxJobs: number): string[] => {
	let base = margin.top + plotHeight;
	const bars: string[] = [];
	for (const kind of stackOrder) {
		const barHeight = plotHeight * minute[kind] / maxJobs;
		base -= barHeight;
		if (barHeight > 0) {
			bars.push(`<rect class="${kind}" x="${roundCoordinate(x)}" y="${roundCoordinate(base)}" width="${roundCoordinate(barWidth)}" height="${roundCoordinate(barHeight)}"/>`);
		}
	}

	return bars;
};

/** Renders the jobs per minute over the last hour as stacked bars of good, bad and unknown jobs. */
export const plotMinutes = ({minutes}: ObjectiveReport, at: number): string => {
	const end = (Math.floor(at / bucketMs) * bucketMs) + bucketMs;
	const from = end - windowMs.long;
	const shownMinutes = minutes.filter(({start}) => start >= from);
	const maxJobs = Math.max(1, ...shownMinutes.map(({good, bad, unknown}) => good + bad + unknown));
	const barWidth = plotWidth * bucketMs / windowMs.long;
	const bars = shownMinutes.flatMap(minute =>
		renderStackedBar(minute, margin.left + (plotWidth * (minute.start - from) / windowMs.long), barWidth * 0.9, maxJobs));
	return renderPlot('jobs per minute', [
		...bars,
		axisText(margin.left - 6, margin.top + 10, String(maxJobs), 'end'),
		axisText(margin.left - 6, margin.top + plotHeight, '0', 'end'),
		...timeAxis(from, end),
	]);
};

/** Renders the response times by percentile, with the target as a line. The time axis is logarithmic. */
export const plotPercentiles = ({percentiles, objective}: ObjectiveReport): string => {
	const maxShownMs = Math.max(objective.targetMs, ...percentiles.map(({valueMs}) => valueMs)) * 1.2;
	const toY = (valueMs: number): number =>
		margin.top + (plotHeight * (1 - (Math.log10(Math.max(1, valueMs)) / Math.log10(Math.max(10, maxShownMs)))));
	const step = plotWidth / Math.max(1, percentiles.length - 1);
	const points = percentiles.map(({valueMs}, index) => `${roundCoordinate(margin.left + (step * index))},${roundCoordinate(toY(valueMs))}`);
	const labels = percentiles.map(({percentile}, index) => axisText(margin.left + (step * index), height - 6, `p${percentile}`, index === percentiles.length - 1 ? 'end' : 'middle'));
	const targetY = roundCoordinate(toY(objective.targetMs));
	return renderPlot('response times by percentile', [
		`<line class="target" x1="${margin.left}" x2="${margin.left + plotWidth}" y1="${targetY}" y2="${targetY}"/>`,
		axisText(margin.left - 6, targetY + 4, `${objective.targetMs} ms`, 'end'),
		`<polyline class="line" points="${points.join(' ')}"/>`,
		...labels,
	]);
};
