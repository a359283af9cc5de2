/** Least-squares line fit with the standard error of its slope. */

/** A measured value at one size. */
export type Point = {
	size: number;
	value: number;
};

/** The line `value = intercept + slope × size` and how well it fits the points. */
export type LineFit = {
	slope: number;
	intercept: number;
	/** Standard error of the slope, in the unit of the slope. */
	slopeError: number;
	/** Coefficient of determination: the share of the variance that the line explains, 1 for a perfect fit. */
	rSquared: number;
	/** Largest distance of a point from the line, divided by the value of the point; 0.1 is 10%. */
	largestRelativeResidual: number;
};

const fittedParameterCount = 2; // Slope and intercept

const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length;

const sumTerms = (points: readonly Point[], term: (point: Point) => number): number =>
	points.reduce((sum, point) => sum + term(point), 0);

/** Returns the value of the line at a size. */
export const predictValue = ({slope, intercept}: Pick<LineFit, 'slope' | 'intercept'>, size: number): number => intercept + (slope * size);

/** Fits a line by least squares. Throws a `RangeError` for fewer than three points or when all sizes are equal. */
export const fitLine = (points: readonly Point[]): LineFit => {
	if (points.length <= fittedParameterCount) {
		throw new RangeError(`a line fit needs at least three points, got ${points.length}`);
	}

	const meanSize = mean(points.map(({size}) => size));
	const meanValue = mean(points.map(({value}) => value));
	const sizeSumOfSquares = sumTerms(points, ({size}) => (size - meanSize) ** 2);
	if (sizeSumOfSquares === 0) {
		throw new RangeError('all points have the same size; a line fit needs different sizes');
	}

	const slope = sumTerms(points, ({size, value}) => (size - meanSize) * (value - meanValue)) / sizeSumOfSquares;
	const intercept = meanValue - (slope * meanSize);
	const residual = ({size, value}: Point) => value - predictValue({slope, intercept}, size);
	const residualSumOfSquares = sumTerms(points, point => residual(point) ** 2);
	const valueSumOfSquares = sumTerms(points, ({value}) => (value - meanValue) ** 2);
	return {
		slope,
		intercept,
		slopeError: Math.sqrt(residualSumOfSquares / (points.length - fittedParameterCount) / sizeSumOfSquares),
		rSquared: valueSumOfSquares === 0 ? 1 : 1 - (residualSumOfSquares / valueSumOfSquares),
		largestRelativeResidual: Math.max(...points.map(point => point.value === 0 ? 0 : Math.abs(residual(point) / point.value))),
	};
};
