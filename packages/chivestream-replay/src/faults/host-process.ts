/** Simulated process of an entry host: its skewed clock, and callbacks that wait while the process is paused. */
import {type Clock} from 'chivestream-core';

/** One process of an entry host, from its start to its end. */
export type HostProcess = {
	hostId: string;
	zone: string;
	incarnation: string;
	/** The local clock of the host, off by its skew; timers that expire during a pause fire when the process resumes. */
	clock: Clock;
	isAlive: () => boolean;
	isPaused: () => boolean;
	/** Calls back at once, or after the pause if the process is paused; never once the process has ended. */
	runWhenActive: (callback: () => void) => void;
	/** Resolves at once, or after the pause if the process is paused; never once the process has ended. */
	waitUntilActive: () => Promise<void>;
	/** Resolves when the process ends. */
	ended: Promise<void>;
	pause: () => void;
	resume: () => void;
	/** Moves the local clock forward, or backward by a negative offset. */
	jumpClock: (offsetMs: number) => void;
	/** Ends the process and drops its deferred callbacks. */
	end: () => void;
};

/** Settings of a process. */
export type HostProcessOptions = {
	hostId: string;
	zone: string;
	incarnation: string;
	/** The clock of the run, without skew. */
	clock: Clock;
	/** How far the local clock is ahead of it, in milliseconds; negative if behind. */
	skewMs: number;
};

/** Starts a process. */
export const createHostProcess = ({hostId, zone, incarnation, clock, skewMs: initialSkewMs}: HostProcessOptions): HostProcess => {
	let deferred: Array<() => void> = [];
	let isAlive = true;
	let isPaused = false;
	let skewMs = initialSkewMs;
	let resolveEnded: () => void;
	const ended = new Promise<void>(resolve => {
		resolveEnded = resolve;
	});

	const runWhenActive = (callback: () => void) => {
		if (isPaused) {
			deferred.push(callback);
		} else if (isAlive) {
			callback();
		}
	};

	const hostClock: Clock = {
		now: () => clock.now() + skewMs,
		at(deadline, callback) {
			let isCancelled = false;
			const timer = clock.at(deadline - skewMs, () => {
				runWhenActive(() => {
					if (!isCancelled) {
						callback();
					}
				});
			});
			return {
				cancel() {
					isCancelled = true;
					timer.cancel();
				},
			};
		},
	};

	return {
		hostId,
		zone,
		incarnation,
		clock: hostClock,
		isAlive: () => isAlive,
		isPaused: () => isPaused,
		runWhenActive,
		waitUntilActive: async () => new Promise(resolve => {
			runWhenActive(resolve);
		}),
		ended,
		pause() {
			isPaused = true;
		},
		resume() {
			isPaused = false;
			const callbacks = deferred;
			deferred = [];
			for (const callback of callbacks) {
				runWhenActive(callback);
			}
		},
		jumpClock(offsetMs) {
			skewMs += offsetMs;
		},
		end() {
			isAlive = false;
			isPaused = false;
			deferred = [];
			resolveEnded();
		},
	};
};
