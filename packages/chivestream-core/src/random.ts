/** Seeded random numbers, passed as an argument wherever a decision draws one. */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Draws a number in [0, 1). */
export type Random = () => number;

/** A generator that gives the same numbers for the same seed. */
export const createRandom = (seed: number): Random => {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
};

/** A whole number in [0, limit). */
export const randomInteger = (random: Random, limit: number): number => Math.floor(random() * limit);

/** One element of a non-empty list. */
export const pickRandom = <Element>(random: Random, elements: readonly Element[]): Element => {
	const element = elements[randomInteger(random, elements.length)];
	if (element === undefined) {
		throw new RangeError('cannot pick from an empty list');
	}

	return element;
};
