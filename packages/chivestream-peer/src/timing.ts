/** Intervals and timeouts of membership. */

/** Intervals and timeouts in milliseconds. Tests and measurements may override each of them. */
export type Timing = {
	/** Interval between heartbeats to the same host of the zone. */
	heartbeatIntervalMs: number;
	/** Interval between heartbeats from a representative to one of another zone. */
	interZoneIntervalMs: number;
	/** A host of the zone is suspected after this long without a sign of life. */
	suspicionTimeoutMs: number;
	/** A host of another zone is suspected after this long without a sign of life. */
	interZoneSuspicionTimeoutMs: number;
	/** A suspected host is considered dead after this long without a sign of life. */
	deadTimeoutMs: number;
	/** A host is removed from the received state after this long without a sign of life. */
	removalTimeoutMs: number;
	/** A host may hold slots for this long after sending a heartbeat that was acknowledged. */
	acknowledgementTimeoutMs: number;
	/** A host that considers no other host of its zone live waits this long before it takes all slots of the zone. */
	soleHostDelayMs: number;
	/** Interval between requests to seeds while another host of the zone is live. */
	seedIntervalMs: number;
	/** Interval between recomputations of the local view. */
	refreshIntervalMs: number;
};

/** Default values. */
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

/**
Scales the timing for a zone of `zoneSize` hosts. Above `maxUnscaledZoneSize`, the heartbeat interval and the timeouts that
depend on it grow in proportion to the size, so that the number of messages per host and second stays constant.
*/
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
