/** Lengths of time that membership works with. */

/** Lengths of time in milliseconds; every one may be replaced in a test or a measurement. */
export type Timing = {
	/** Between two heartbeats to the same host of the zone. */
	heartbeatIntervalMs: number;
	/** Between two heartbeats from a representative to one of another zone. */
	zoneIntervalMs: number;
	/** A host of the zone without evidence of life for this long is suspected. */
	suspicionMs: number;
	/** A host of another zone without evidence of life for this long is suspected. */
	zoneSuspicionMs: number;
	/** A suspected host counts as dead after this long without evidence of life. */
	deadMs: number;
	/** A host without evidence of life for this long is forgotten. */
	forgetMs: number;
	/** A host shares the zone's slots for this long after it sent a heartbeat that was acknowledged. */
	holdMs: number;
	/** A host that reaches no other host of its zone waits this long before it takes the zone's slots alone. */
	aloneMs: number;
	/** Between two looks at the seeds while other hosts of the zone are known. */
	seedIntervalMs: number;
	/** Between two looks at the state of all hosts. */
	tickMs: number;
};

/** The lengths in use. */
export const defaultTiming: Timing = {
	heartbeatIntervalMs: 500,
	zoneIntervalMs: 1000,
	suspicionMs: 2000,
	zoneSuspicionMs: 4000,
	deadMs: 10_000,
	forgetMs: 600_000,
	holdMs: 1500,
	aloneMs: 2500,
	seedIntervalMs: 2000,
	tickMs: 250,
};

const unstretchedZoneSize = 8;

/** The lengths for a zone of a size: beyond a limit they grow with it, so that a host's messages a second do not. */
export const stretchTiming = (timing: Timing, zoneSize: number): Timing => {
	const factor = Math.max(1, zoneSize / unstretchedZoneSize);
	return {
		...timing,
		heartbeatIntervalMs: timing.heartbeatIntervalMs * factor,
		suspicionMs: timing.suspicionMs * factor,
		zoneSuspicionMs: timing.zoneSuspicionMs * factor,
		holdMs: timing.holdMs * factor,
		aloneMs: timing.aloneMs * factor,
	};
};
