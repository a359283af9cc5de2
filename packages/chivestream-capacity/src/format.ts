/** Formats slopes as plain-text tables. */
import {type Slope, type MetricSummary} from './slope.js';

const digits = 3;
const percentPerUnit = 100;

/** Formats a number with three significant digits. */
export const formatNumber = (value: number): string => Number(value.toPrecision(digits)).toLocaleString('en', {maximumSignificantDigits: digits});

const formatPoint = ({size, median, lowest, highest}: MetricSummary): string =>
	`    ${formatNumber(size).padStart(9)}  ${formatNumber(median).padStart(12)}  (${formatNumber(lowest)} to ${formatNumber(highest)})`;

/** Formats the points of a slope, its fitted line and the error of the fit. */
export const formatSlope = ({name, size, unit, points, fit}: Slope): string => [
	`${name}: ${unit} by ${size}; median (lowest to highest)`,
	...points.map(point => formatPoint(point)),
	`    slope ${formatNumber(fit.slope)} ± ${formatNumber(fit.slopeError)}, intercept ${formatNumber(fit.intercept)}, r² ${fit.rSquared.toFixed(digits)}, `
	+ `largest residual ${formatNumber(fit.largestRelativeResidual * percentPerUnit)}%`,
].join('\n');
