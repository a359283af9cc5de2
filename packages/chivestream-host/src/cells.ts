/**
 * Cells: the parts into which a zone's minions are divided, each with a dispatcher of its own.
 *
 * One process carries about a hundred task starts a second and core, so a zone of some dozens of minions needs more than
 * one dispatcher. A small zone is a single cell.
 */

/** Minions from which on a cell is divided in two, and below which none comes out of a division. */
const minMinionsPerCell = 20;

/** Into how many cells a zone with so many minions is divided: a power of two, so that a division keeps what belongs together. */
export const cellCountFor = (minions: number): number =>
	2 ** Math.max(0, Math.floor(Math.log2(Math.max(1, minions) / minMinionsPerCell)));

// FNV-1a; the library for digests is loaded asynchronously, which the start of a host has no time for.
const fnvOffsetBasis = 2_166_136_261;
const fnvPrime = 16_777_619;

const fnv1a = (text: string): number => {
	let value = fnvOffsetBasis;
	for (const character of text) {
		// eslint-disable-next-line no-bitwise -- the algorithm works on bits
		value = Math.imul(value ^ character.codePointAt(0)!, fnvPrime) >>> 0;
	}

	return value;
};

/** The cell of its zone to which a minion, or a job that has not run yet, belongs. */
export const cellOf = (id: string, cellCount: number): number => fnv1a(id) % cellCount;

/** The name of a cell among all zones; cells of different divisions of a zone have different minions and so different names. */
export const cellName = (zone: string, cell: number, cellCount: number): string => `${zone}/${cell + 1} of ${cellCount}`;
