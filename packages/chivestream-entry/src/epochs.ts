/**
Epochs of home keys. A host issues keys for its current epoch and accepts those of a few epochs back, so that what it
must remember to run each key at most once is bounded without trusting any caller's clock.
*/

/** The epochs of one incarnation. */
export type Epochs = {
	current: () => number;
	/** Whether keys of the epoch may still start. */
	isOpen: (epoch: number) => boolean;
	/** Whether this incarnation has reached the epoch. */
	isIssued: (epoch: number) => boolean;
	/** Time from which no key of the epoch is accepted any more. */
	closesAt: (epoch: number) => number;
};

/** How epochs advance. */
export type EpochsOptions = {
	now: () => number;
	epochMs: number;
	/** How many epochs, the current one included, accept keys. */
	openEpochs: number;
};

/** Epochs that start with this call and never go back, even if the clock does. */
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
