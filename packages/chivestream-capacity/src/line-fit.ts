/** A straight line through measured points, by least squares, with its error. */

/** One measured point. */
export type Point = {
	size: number;
	value: number;
};

/** The line `value = intercept + slope × size` with its error. */
export type LineFit = {
	slope: number;
	intercept: number;
	/** Standard error of the slope, in the slope's unit. */
	slopeError: number;
	/** Share of the variance that the line explains; 1 is a perfect fit. */
	rSquared: number;
	/** Largest distance of a point from the line, over the point's own value. */
	largestRelativeResidual: number;
};

const degreesTaken = 2;

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const sumOf = (points: readonly Point[], term: (point: Point) => number): number =>
	points.reduce((sum, point) => sum + term(point), 0);

/** The value on a line at a size. */
export const valueAt = ({slope, intercept}: Pick<LineFit, 'slope' | 'intercept'>, size: number): number => intercept + (slope * size);

/** Fits a line; throws a `RangeError` for fewer than three points or when all sizes are the same. */
export const fitLine = (points: readonly Point[]): LineFit => {
	if (points.length <= degreesTaken) {
		throw new RangeError(`points: ${points.length} are too few for a line with an error; give at least three`);
	}

	const meanSize = mean(points.map(({size}) => size));
	const meanValue = mean(points.map(({value}) => value));
	const sizeSpread = sumOf(points, ({size}) => (size - meanSize) ** 2);
	if (sizeSpread === 0) {
		throw new RangeError('points: all have the same size; give different sizes');
	}

	const slope = sumOf(points, ({size, value}) => (size - meanSize) * (value - meanValue)) / sizeSpread;
	const intercept = meanValue - (slope * meanSize);
	const residual = ({size, value}: Point) => value - valueAt({slope, intercept}, size);
	const residualSpread = sumOf(points, point => residual(point) ** 2);
	const valueSpread = sumOf(points, ({value}) => (value - meanValue) ** 2);
	return {
		slope,
		intercept,
		slopeError: Math.sqrt(residualSpread / (points.length - degreesTaken) / sizeSpread),
		rSquared: valueSpread === 0 ? 1 : 1 - (residualSpread / valueSpread),
		largestRelativeResidual: Math.max(...points.map(point => point.value === 0 ? 0 : Math.abs(residual(point) / point.value))),
	};
};
