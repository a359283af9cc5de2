/** Draws a line plot as SVG, the vertical axis on a logarithmic scale. */

/** One line of a plot. */
export type Series = {
	name: string;
	points: Array<{x: number; y: number}>;
};

const width = 560;
const height = 320;
const margin = 50;
const colours = ['#0b6e4f', '#c44900', '#3d5a80', '#8e6c88'];
const smallestValue = 0.01;

/** An SVG image of the series. */
export const drawPlot = (title: string, series: readonly Series[]): string => {
	const xs = series.flatMap(({points}) => points.map(({x}) => x));
	const ys = series.flatMap(({points}) => points.map(({y}) => Math.max(smallestValue, y)));
	const [left, right] = [Math.min(...xs), Math.max(...xs)];
	const [bottom, top] = [Math.log10(Math.min(...ys)), Math.log10(Math.max(...ys) * 1.1)];
	const toX = (x: number) => (margin + ((x - left) / (right - left) * (width - (2 * margin)))).toFixed(1);
	const toY = (y: number) => (height - margin - ((Math.log10(Math.max(smallestValue, y)) - bottom) / (top - bottom) * (height - (2 * margin)))).toFixed(1);
	const lines = series.map(({name, points}, index) => {
		const colour = colours[index % colours.length]!;
		const path = points.map(({x, y}) => `${toX(x)},${toY(y)}`).join(' ');
		const labels = points.map(({x, y}) => `<text x="${toX(x)}" y="${Number(toY(y)) - 5}" font-size="9" fill="${colour}">${y.toFixed(2)}</text>`).join('');
		const legend = `<text x="${margin + (index * 110)}" y="38" font-size="11" fill="${colour}">${name}</text>`;
		return `<polyline points="${path}" fill="none" stroke="${colour}" stroke-width="2"/>${labels}${legend}`;
	});
	const ticks = [...new Set(xs)].map(x => `<text x="${toX(x)}" y="${height - margin + 18}" font-size="11" text-anchor="middle">${x}</text>`);
	return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif">
<rect width="100%" height="100%" fill="white"/>
<text x="${margin}" y="20" font-size="14">${title}</text>
${lines.join('\n')}
${ticks.join('\n')}
<text x="${width / 2}" y="${height - 12}" font-size="11" text-anchor="middle">load; vertical axis logarithmic</text>
</svg>
`;
};
