/** Tables for reading. */
import {type Slope, type SizedFigure} from './slope.js';

const digits = 3;
const percent = 100;

/** A number with few digits. */
export const formatNumber = (value: number): string => Number(value.toPrecision(digits)).toLocaleString('en', {maximumSignificantDigits: digits});

const formatPoint = ({size, median, lowest, highest}: SizedFigure): string =>
	`    ${formatNumber(size).padStart(9)}  ${formatNumber(median).padStart(12)}  (${formatNumber(lowest)} to ${formatNumber(highest)})`;

/** The points of a slope with its line and error. */
export const formatSlope = ({name, size, unit, points, fit}: Slope): string => [
	`${name}: ${unit} by ${size}; median (lowest to highest)`,
	...points.map(point => formatPoint(point)),
	`    slope ${formatNumber(fit.slope)} ± ${formatNumber(fit.slopeError)}, intercept ${formatNumber(fit.intercept)}, r² ${fit.rSquared.toFixed(digits)}, `
	+ `largest residual ${formatNumber(fit.largestRelativeResidual * percent)}%`,
].join('\n');
