/** Intervals and bounds of the traffic between entry hosts, in milliseconds. */

/** The intervals. The silence of a dispatcher stays below the time in which callers send a job again, so that two homes never overlap. */
export const hostTiming = {
	/** Between two messages of status of a dispatcher to the hosts of its zone, and of everybody in a small zone. */
	heartbeatMs: 200,
	/** A dispatcher drops the jobs of a host that has said nothing, or has been away, for so long. */
	submitterTimeoutMs: 700,
	/** After the loss of a dispatcher its jobs may begin in another zone only this much later: its own loss of the host
	 * and the longest lease have passed by then. */
	otherCellDelayMs: 1300,
	/** Pause before another connection to a host that can't be reached. */
	reconnectDelayMs: 150,
	/** Between two looks of a dispatcher at what has changed; others look once a heartbeat. */
	tickMs: 50,
	/** A gap between two looks after which the host takes itself to have been frozen. */
	pauseThresholdMs: 600,
	/** How long a job waits for a dispatcher to be found. */
	findDispatcherTimeoutMs: 700,
	/** Hosts of the zone that have been silent for longer are taken to be gone. */
	silentHostExpiryMs: 15_000,
	/** How long a host that was fenced off without seeing the others leaves the minions alone. */
	fencedBackoffMs: 5000,
} as const;

/** A host that has missed so many messages of status is taken to be out of reach. */
const maxMissedHeartbeats = 3;

/** How long a host may say nothing that has said when its next status comes, in milliseconds. */
export const silenceTimeoutMs = (nextInMs: number): number => maxMissedHeartbeats * nextInMs;

/** Hosts of a zone for each multiple of the times that grow with it. */
const hostsPerSizeStep = 3;

const zoneSizeFactor = (hostsOfZone: number): number => Math.max(1, Math.floor(hostsOfZone / hostsPerSizeStep));

/** Time after the start in which a host of a small zone looks for the others before it claims, in milliseconds. */
const minDiscoveryMs = 700;

/** Time after the start in which a host looks for the others of its zone before it claims: the links of a large zone take a small
 * host seconds of its processor, and a claim without them takes the minions from dispatchers that are well, in milliseconds. */
export const discoveryMs = (hostsOfZone: number): number => minDiscoveryMs * zoneSizeFactor(hostsOfZone);

/** Time between two messages of status where no dispatcher is to be missed at once: it grows with the zone, so that the messages
 * of a host stay about the same, in milliseconds. */
export const slowHeartbeatMs = (hostsOfZone: number): number =>
	hostTiming.heartbeatMs * zoneSizeFactor(hostsOfZone);
