/**
Epochs of home keys. A host issues keys for its current epoch and accepts those of the latest few epochs. This bounds
the records that it needs to run each key at most once, without relying on the clock of any caller.
*/

/** The epochs of one incarnation, numbered from 0. */
export type Epochs = {
	current: () => number;
	/** Whether jobs with keys of the epoch may still start. */
	isOpen: (epoch: number) => boolean;
	/** Whether this incarnation has reached the epoch. */
	isIssued: (epoch: number) => boolean;
	/** Time from which keys of the epoch are no longer accepted, in milliseconds since the Unix epoch. */
	closesAt: (epoch: number) => number;
};

/** Clock, length and number of accepted epochs. */
export type EpochsOptions = {
	now: () => number;
	epochMs: number;
	/** Number of epochs whose keys are accepted, the current one included. */
	openEpochs: number;
};

/** Creates epochs that start now. The current epoch never decreases, even if the clock does. */
export const createEpochs = ({now, epochMs, openEpochs}: EpochsOptions): Epochs => {
	const startedAt = now();
	let highest = 0;

	const current = () => {
		highest = Math.max(highest, Math.floor((now() - startedAt) / epochMs));
		return highest;
	};

	return {
		current,
		isOpen: epoch => epoch <= current() && epoch > current() - openEpochs,
		isIssued: epoch => epoch <= current(),
		closesAt: epoch => startedAt + ((epoch + openEpochs) * epochMs),
	};
};
