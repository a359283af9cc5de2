/** One run of an entry host in memory: its own clock, and everything that stands still while it is paused. */
import {type Clock} from 'chivestream-core';

/** One run of an entry host. */
export type HostRun = {
	hostId: string;
	zone: string;
	incarnation: string;
	/** The host's own clock, off by its skew; its timers stand still with the host. */
	clock: Clock;
	isAlive: () => boolean;
	isPaused: () => boolean;
	/** Calls back at once, after a pause, or never once the run has ended. */
	enter: (callback: () => void) => void;
	/** Resolves while the run goes on; never after its end. */
	gate: () => Promise<void>;
	/** Resolves when the run ends. */
	ended: Promise<void>;
	pause: () => void;
	resume: () => void;
	/** Sets the host's clock forward or back. */
	jump: (lengthMs: number) => void;
	end: () => void;
};

/** What a run is made of. */
export type HostRunOptions = {
	hostId: string;
	zone: string;
	incarnation: string;
	clock: Clock;
	/** How far the host's clock is ahead, in milliseconds. */
	skewMs: number;
};

/** A run that has just started. */
export const createHostRun = ({hostId, zone, incarnation, clock, skewMs: initialSkewMs}: HostRunOptions): HostRun => {
	let waiting: Array<() => void> = [];
	let isAlive = true;
	let isPaused = false;
	let skewMs = initialSkewMs;
	let resolveEnded: () => void;
	const ended = new Promise<void>(resolve => {
		resolveEnded = resolve;
	});

	const enter = (callback: () => void) => {
		if (isPaused) {
			waiting.push(callback);
		} else if (isAlive) {
			callback();
		}
	};

	const hostClock: Clock = {
		now: () => clock.now() + skewMs,
		at(deadline, callback) {
			let isCancelled = false;
			const timer = clock.at(deadline - skewMs, () => {
				enter(() => {
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
		enter,
		gate: async () => new Promise(resolve => {
			enter(resolve);
		}),
		ended,
		pause() {
			isPaused = true;
		},
		resume() {
			isPaused = false;
			const callbacks = waiting;
			waiting = [];
			for (const callback of callbacks) {
				enter(callback);
			}
		},
		jump(lengthMs) {
			skewMs += lengthMs;
		},
		end() {
			isAlive = false;
			isPaused = false;
			waiting = [];
			resolveEnded();
		},
	};
};
