/** Seeded random numbers. Functions that need one take a `Random` as an argument, so that runs can be reproduced. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns a uniform random number in [0, 1). */
export type Random = () => number;

/** Creates a generator that returns the same sequence for the same seed. */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};

/** Draws a uniform integer in [0, limit). */
export const randomInteger = (random: Random, limit: number): number => Math.floor(random() * limit);

/** Draws one element of a list. Throws a `RangeError` if it is empty. */
export const pickRandom = <Element>(random: Random, elements: readonly Element[]): Element => {
	const element = elements[randomInteger(random, elements.length)];
	if (element === undefined) {
		throw new RangeError('cannot pick from an empty list');
	}

	return element;
};
