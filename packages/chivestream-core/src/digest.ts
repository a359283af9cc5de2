/** Hashes that are the same on every host: content digests and rendezvous ranks. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** 64-bit hash of a text, as 16 hexadecimal digits. */
export const digestText = (text: string): string => hasher.h64ToString(text);

/**
 * Sorts candidates by their rendezvous rank for a subject, highest first. The order depends only on the subject and the
 * candidates.
 */
export const rankByRendezvous = (subject: string, candidates: readonly string[]): string[] =>
	candidates
		.map(candidate => ({candidate, rank: hasher.h64(`${subject}\n${candidate}`)}))
		.toSorted((left, right) => {
			if (left.rank === right.rank) {
				return left.candidate < right.candidate ? -1 : 1;
			}

			return left.rank > right.rank ? -1 : 1;
		})
		.map(({candidate}) => candidate);
