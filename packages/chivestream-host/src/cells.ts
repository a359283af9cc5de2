/**
 * Divides the minions of a zone into cells, each with its own dispatcher.
 *
 * A process handles about 100 task starts per second and core, so a zone with a few dozen minions needs more than one
 * dispatcher. A small zone is a single cell.
 */

/** Minimum number of minions per cell, on average, after a division. */
const minMinionsPerCell = 20;

/** Number of cells for a number of minions. It is a power of two, so that a division only splits cells and never merges parts of them. */
export const cellCountFor = (minions: number): number =>
	2 ** Math.max(0, Math.floor(Math.log2(Math.max(1, minions) / minMinionsPerCell)));

// FNV-1a is implemented here because the digest library loads asynchronously, which would delay the start of a host.
const fnvOffsetBasis = 2_166_136_261;
const fnvPrime = 16_777_619;

/** The FNV-1a digest of a text, of 32 bits. */
export const fnv1a = (text: string): number => {
	let value = fnvOffsetBasis;
	for (const character of text) {
		// eslint-disable-next-line no-bitwise -- the algorithm works on bits
		value = Math.imul(value ^ character.codePointAt(0)!, fnvPrime) >>> 0;
	}

	return value;
};

/** Number of the cell to which a minion, or a job that has not run yet, belongs by its ID. */
export const cellOf = (id: string, cellCount: number): number => fnv1a(id) % cellCount;

/** Name of a cell, unique across zones. It contains the cell count, because cells of different divisions have different minions. */
export const cellName = (zone: string, cell: number, cellCount: number): string => `${zone}/${cell + 1} of ${cellCount}`;
