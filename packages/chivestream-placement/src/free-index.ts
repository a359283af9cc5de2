/** Targets with a free slot, grouped by how slow they were found to be, so that the fastest is found in constant time. */
import {type Random, randomInteger} from 'chivestream-core';
import {geometricMean} from './speed.js';
import {type Target} from './target.js';

const bucketsPerDoubling = 4;
const doublingsEachWay = 8;
const middleBucket = bucketsPerDoubling * doublingsEachWay;
const bucketCount = (2 * middleBucket) + 1;
const samplesPerBucket = 4;

/** Free targets by slowness. */
export type FreeIndex = {
	size: () => number;
	/** Adds the target, or moves it to where its slowness belongs. */
	put: (target: Target) => void;
	remove: (target: Target) => void;
	/** The fastest target that is accepted. */
	fastest: (isAccepted: (target: Target) => boolean) => Target | undefined;
	/** The slowest target no slower than the limit that is accepted. */
	slowestWithin: (slowness: number, isAccepted: (target: Target) => boolean) => Target | undefined;
};

const bucketIndexOf = (slowness: number): number => {
	const bucket = middleBucket + Math.round(Math.log2(slowness) * bucketsPerDoubling);
	return Math.max(0, Math.min(bucketCount - 1, bucket));
};

/** An empty index. Within a group the choice is random, so that hosts don't all pick the same target. */
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
