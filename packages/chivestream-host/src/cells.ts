/**
 * Divides the minions of a zone into cells, each with its own dispatcher.
 *
 * What a dispatcher can carry follows from its processor and its link, so a zone with a few dozen minions, or with small hosts, needs more
 * than one. Any other zone is a single cell.
 */
import {distributeCells} from './election.js';
import {type HostRecord} from './messages.js';

/** Minimum number of minions per cell, on average, after a division because of the number of minions. */
const minMinionsPerCell = 20;

/** Minimum number of minions per cell, on average, after a division because of the hosts. */
const minMinionsPerSmallCell = 5;

/** Number of minions that a dispatcher can carry for each core of its `cpuShare`: 0.24 cores carry the 40 of the largest undivided cell. */
const minionsPerCore = 168;

/** A division because of the hosts must bring the highest load of a host below this fraction of what it was. */
const maxLoadRatio = 0.75;

const cellCountByMinions = (minions: number): number =>
	2 ** Math.max(0, Math.floor(Math.log2(Math.max(1, minions) / minMinionsPerCell)));

/** The highest load of a host that dispatches, as a fraction of what it can carry; 0 without hosts. */
const highestLoad = (minions: number, hosts: readonly HostRecord[], cellCount: number): number => {
	const loads = [...distributeCells(hosts, cellCount)].map(([{cpuShare}, cells]) => cells * minions / cellCount / (minionsPerCore * cpuShare));
	return Math.max(0, ...loads);
};

/**
 * Number of cells for a number of minions, at least `minCellCount`. It is a power of two, so that a division only splits cells and never
 * merges parts of them.
 *
 * A zone is also divided if one of the hosts that would dispatch, which are the largest ones, couldn't carry its cells, and if smaller
 * cells on more hosts help. Without hosts, only the number of minions counts.
 */
export const cellCountFor = (minions: number, hosts: readonly HostRecord[], minCellCount = 1): number => {
	let cellCount = Math.max(minCellCount, cellCountByMinions(minions));
	let load = highestLoad(minions, hosts, cellCount);
	const maxCellCount = Math.min(hosts.length, minions / minMinionsPerSmallCell);
	for (let count = 2 * cellCount; load >= 1 && count <= maxCellCount; count *= 2) {
		const dividedLoad = highestLoad(minions, hosts, count);
		if (dividedLoad < maxLoadRatio * load) {
			[cellCount, load] = [count, dividedLoad];
		}
	}

	return cellCount;
};

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
