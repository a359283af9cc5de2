/** Lengths of time that membership works with. */

/** Lengths of time in milliseconds; every one may be replaced in a test or a measurement. */
export type Timing = {
	/** Between two heartbeats to the same host of the zone. */
	heartbeatIntervalMs: number;
	/** Between two heartbeats from a representative to one of another zone. */
	interZoneIntervalMs: number;
	/** A host of the zone without evidence of life for this long is suspected. */
	suspicionTimeoutMs: number;
	/** A host of another zone without evidence of life for this long is suspected. */
	interZoneSuspicionTimeoutMs: number;
	/** A suspected host counts as dead after this long without evidence of life. */
	deadTimeoutMs: number;
	/** A host without evidence of life for this long is forgotten. */
	removalTimeoutMs: number;
	/** A host shares the zone's slots for this long after it sent a heartbeat that was acknowledged. */
	acknowledgementTimeoutMs: number;
	/** A host that reaches no other host of its zone waits this long before it takes the zone's slots alone. */
	soleHostDelayMs: number;
	/** Between two looks at the seeds while other hosts of the zone are known. */
	seedIntervalMs: number;
	/** Between two looks at the state of all hosts. */
	refreshIntervalMs: number;
};

/** The lengths in use. */
export const defaultTiming: Timing = {
	heartbeatIntervalMs: 500,
	interZoneIntervalMs: 1000,
	suspicionTimeoutMs: 2000,
	interZoneSuspicionTimeoutMs: 4000,
	deadTimeoutMs: 10_000,
	removalTimeoutMs: 600_000,
	acknowledgementTimeoutMs: 1500,
	soleHostDelayMs: 2500,
	seedIntervalMs: 2000,
	refreshIntervalMs: 250,
};

const maxUnscaledZoneSize = 8;

/** The lengths for a zone of a size: beyond a limit they grow with it, so that a host's messages a second do not. */
export const scaleTiming = (timing: Timing, zoneSize: number): Timing => {
	const factor = Math.max(1, zoneSize / maxUnscaledZoneSize);
	return {
		...timing,
		heartbeatIntervalMs: timing.heartbeatIntervalMs * factor,
		suspicionTimeoutMs: timing.suspicionTimeoutMs * factor,
		interZoneSuspicionTimeoutMs: timing.interZoneSuspicionTimeoutMs * factor,
		acknowledgementTimeoutMs: timing.acknowledgementTimeoutMs * factor,
		soleHostDelayMs: timing.soleHostDelayMs * factor,
		refreshIntervalMs: timing.refreshIntervalMs * factor,
	};
};
