/** Plots of the report as inline SVG. */
import {bucketMs} from 'chivestream-core';
import {type MinuteCounts, type ObjectiveReport, windowMs} from './burn.js';

const width = 640;
const height = 140;
const margin = {
	left: 52, right: 8, top: 8, bottom: 24,
} as const;
const plotWidth = width - margin.left - margin.right;
const plotHeight = height - margin.top - margin.bottom;
const gridLines = 4;

const round = (number: number): number => Number(number.toFixed(1));

const frame = (label: string, content: string[]): string => [
	`<svg viewBox="0 0 ${width} ${height}" role="img" aria-label="${label}">`,
	`<rect class="frame" x="${margin.left}" y="${margin.top}" width="${plotWidth}" height="${plotHeight}"/>`,
	...content,
	'</svg>',
].join('\n');

const axisText = (x: number, y: number, text: string, anchor: string): string =>
	`<text x="${round(x)}" y="${round(y)}" text-anchor="${anchor}">${text}</text>`;

const toTimeText = (time: number): string => new Date(time).toISOString().slice(11, 16);

const timeAxis = (from: number, at: number): string[] => Array.from({length: gridLines + 1}, (_, index) => {
	const time = from + ((at - from) * index / gridLines);
	const anchor = index === gridLines ? 'end' : 'middle';
	return axisText(margin.left + (plotWidth * index / gridLines), height - 6, toTimeText(time), anchor);
});

const stackKinds = ['good', 'bad', 'unknown'] as const;

const stackBars = (minute: MinuteCounts, x: number, barWidth: number, highest: number): string[] => {
	let base = margin.top + plotHeight;
	const bars: string[] = [];
	for (const kind of stackKinds) {
		const barHeight = plotHeight * minute[kind] / highest;
		base -= barHeight;
		if (barHeight > 0) {
			bars.push(`<rect class="${kind}" x="${round(x)}" y="${round(base)}" width="${round(barWidth)}" height="${round(barHeight)}"/>`);
		}
	}

	return bars;
};

/** Jobs a minute over the last hour, good, bad and unknown on top of one another. */
export const plotMinutes = ({minutes}: ObjectiveReport, at: number): string => {
	const end = (Math.floor(at / bucketMs) * bucketMs) + bucketMs;
	const from = end - windowMs.long;
	const shown = minutes.filter(({start}) => start >= from);
	const highest = Math.max(1, ...shown.map(({good, bad, unknown}) => good + bad + unknown));
	const barWidth = plotWidth * bucketMs / windowMs.long;
	const bars = shown.flatMap(minute =>
		stackBars(minute, margin.left + (plotWidth * (minute.start - from) / windowMs.long), barWidth * 0.9, highest));
	return frame('jobs a minute', [
		...bars,
		axisText(margin.left - 6, margin.top + 10, String(highest), 'end'),
		axisText(margin.left - 6, margin.top + plotHeight, '0', 'end'),
		...timeAxis(from, end),
	]);
};

/** Response times by percentile, with the target as a line; the time axis is logarithmic. */
export const plotPercentiles = ({percentiles, objective}: ObjectiveReport): string => {
	const longest = Math.max(objective.targetMs, ...percentiles.map(({valueMs}) => valueMs)) * 1.2;
	const toY = (valueMs: number): number =>
		margin.top + (plotHeight * (1 - (Math.log10(Math.max(1, valueMs)) / Math.log10(Math.max(10, longest)))));
	const step = plotWidth / Math.max(1, percentiles.length - 1);
	const points = percentiles.map(({valueMs}, index) => `${round(margin.left + (step * index))},${round(toY(valueMs))}`);
	const labels = percentiles.map(({percentile}, index) => axisText(margin.left + (step * index), height - 6, `p${percentile}`, index === percentiles.length - 1 ? 'end' : 'middle'));
	const targetY = round(toY(objective.targetMs));
	return frame('response times by percentile', [
		`<line class="target" x1="${margin.left}" x2="${margin.left + plotWidth}" y1="${targetY}" y2="${targetY}"/>`,
		axisText(margin.left - 6, targetY + 4, `${objective.targetMs} ms`, 'end'),
		`<polyline class="line" points="${points.join(' ')}"/>`,
		...labels,
	]);
};
