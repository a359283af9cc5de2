/** Stable hashes: content digests and rendezvous ranks, the same on every host. */
import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/** A 64-bit hash of a text as 16 hexadecimal digits. */
export const digestText = (text: string): string => hasher.h64ToString(text);

/** Candidates in rendezvous order for a subject: highest rank first, the same on every host that knows the same candidates. */
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
