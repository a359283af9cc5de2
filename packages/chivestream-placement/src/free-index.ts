/** Index of the targets with a free slot, in buckets by slowness, so that the fastest is found in constant time. */
import {type Random, randomInteger} from 'chivestream-core';
import {geometricMean} from './speed.js';
import {type Target} from './target.js';

/** Each bucket spans a factor of 2^(1/4) of slowness. */
const bucketsPerDoubling = 4;
/** The buckets cover slowness from 2^-8 to 2^8; the outermost hold everything beyond. */
const doublingsEachWay = 8;
const middleBucket = bucketsPerDoubling * doublingsEachWay;
const bucketCount = (2 * middleBucket) + 1;
/** Random targets tried in a bucket before it is searched in order. */
const samplesPerBucket = 4;

/** Targets with a free slot, by slowness. */
export type FreeIndex = {
	/** Number of targets. */
	size: () => number;
	/** Adds the target, or moves it to the bucket of its current slowness. */
	put: (target: Target) => void;
	remove: (target: Target) => void;
	/** The fastest target that `isAccepted` accepts, up to the resolution of the buckets. */
	fastest: (isAccepted: (target: Target) => boolean) => Target | undefined;
	/** The slowest target no slower than `slowness` that `isAccepted` accepts, up to the resolution of the buckets. */
	slowestWithin: (slowness: number, isAccepted: (target: Target) => boolean) => Target | undefined;
};

const bucketIndexOf = (slowness: number): number => {
	const bucket = middleBucket + Math.round(Math.log2(slowness) * bucketsPerDoubling);
	return Math.max(0, Math.min(bucketCount - 1, bucket));
};

/** Creates an empty index. Within a bucket the choice is random, so that hosts do not all pick the same target. */
export const createFreeIndex = (random: Random): FreeIndex => {
	const buckets: Target[][] = Array.from({length: bucketCount}, () => []);
	let size = 0;

	const remove = (target: Target) => {
		const bucket = buckets[target.bucket];
		if (!bucket) {
			return;
		}

		const last = bucket.pop()!;
		if (last !== target) {
			bucket[target.position] = last;
			last.position = target.position;
		}

		target.bucket = -1;
		target.position = -1;
		size--;
	};

	const put = (target: Target) => {
		const bucketIndex = bucketIndexOf(geometricMean(target.slowness));
		if (target.bucket === bucketIndex) {
			return;
		}

		remove(target);
		const bucket = buckets[bucketIndex]!;
		target.bucket = bucketIndex;
		target.position = bucket.length;
		bucket.push(target);
		size++;
	};

	const pickFromBucket = (bucket: Target[], isAccepted: (target: Target) => boolean): Target | undefined => {
		for (let sample = 0; sample < samplesPerBucket && bucket.length > samplesPerBucket; sample++) {
			const target = bucket[randomInteger(random, bucket.length)]!;
			if (isAccepted(target)) {
				return target;
			}
		}

		const start = randomInteger(random, bucket.length);
		for (let step = 0; step < bucket.length; step++) {
			const target = bucket[(start + step) % bucket.length]!;
			if (isAccepted(target)) {
				return target;
			}
		}

		return undefined;
	};

	const pickFromRange = (first: number, last: number, isAccepted: (target: Target) => boolean): Target | undefined => {
		const step = first <= last ? 1 : -1;
		for (let index = first; index !== last + step; index += step) {
			const bucket = buckets[index]!;
			const target = bucket.length > 0 ? pickFromBucket(bucket, isAccepted) : undefined;
			if (target) {
				return target;
			}
		}

		return undefined;
	};

	return {
		size: () => size,
		put,
		remove,
		fastest: isAccepted => size > 0 ? pickFromRange(0, bucketCount - 1, isAccepted) : undefined,
		slowestWithin: (slowness, isAccepted) => size > 0 ? pickFromRange(bucketIndexOf(slowness), 0, isAccepted) : undefined,
	};
};
