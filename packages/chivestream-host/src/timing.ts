/** Intervals and timeouts of the communication between entry hosts, in milliseconds. */

/** Fixed intervals and timeouts. */
export const hostTiming = {
	/** Interval of the status messages from a dispatcher to the hosts of its zone and to those with a pending job. */
	heartbeatMs: 200,
	/** A dispatcher drops the jobs of a host that has been silent or disconnected for this long. */
	submitterTimeoutMs: 700,
	/** The dispatcher that runs a job counts the lease on it as shorter by this. */
	jobLeaseMarginMs: 20,
	/** A dispatcher asks the submitting host for a renewal if this part of the lease on a new job has passed. */
	jobLeaseRenewalMs: 250,
	/** Shortest interval between two acknowledgements while jobs are pending, unless one is asked for. */
	acknowledgementIntervalMs: 100,
	/** Pause before the next attempt to connect to an unreachable host. */
	reconnectDelayMs: 150,
	/** Interval of the periodic checks on a host that dispatches; other hosts run them once per heartbeat. */
	tickMs: 50,
	/** The process counts as paused if a periodic check is late by more than this; checks are up to `heartbeatMs` apart. */
	pauseThresholdMs: 600,
	/** After a check that is late by more than this, no host counts as silent before the next one: the sockets are read first. */
	lateTickMs: 150,
	/** After a pause, jobs of this host's callers wait this long until the sockets have been read. */
	pauseRecoveryMs: 100,
	/** How long a job waits until a dispatcher is reachable. */
	findDispatcherTimeoutMs: 1000,
	/** How long a job waits for the dispatcher of its cell, or the next one, before it goes to another cell. */
	homeDispatcherWaitMs: 700,
	/** How long a new dispatcher waits until the dispatchers of other cells have named the jobs of its cell that they hold. */
	jobsAnswerTimeoutMs: 300,
	/** Hosts of the zone that have been silent for longer are ignored in the choice of dispatchers. */
	silentHostExpiryMs: 15_000,
	/** How long a host claims no cell after it was fenced while it reached no other host of the zone. */
	fencedBackoffMs: 5000,
	/** A host that is fenced from a cell again within this time claims it again later each time. */
	fencesInRowMs: 10_000,
} as const;

/** A message that becomes due within this time is sent together with those that are already due, in milliseconds. */
export const timerToleranceMs = 20;

/** A host is silent after this many missed status messages. */
const maxMissedHeartbeats = 3;

/** Time without a message after which a host is silent, given the announced time until its next status; both in milliseconds. */
export const silenceTimeoutMs = (nextInMs: number): number => maxMissedHeartbeats * nextInMs;

/** The size factor of a zone is its number of hosts divided by this, rounded down, and at least 1. */
const hostsPerSizeStep = 3;

const zoneSizeFactor = (hostsOfZone: number): number => Math.max(1, Math.floor(hostsOfZone / hostsPerSizeStep));

/** Time after the start in which a host of a small zone discovers the others before it claims a cell, in milliseconds. */
const minDiscoveryMs = 700;

/** Time after the start in which a host discovers the others of its zone before it claims a cell, in milliseconds. It grows with
 * the zone: opening the links of a large zone costs a small host seconds of CPU time, and a claim made before they are open takes
 * minions away from healthy dispatchers. */
const discoveryMs = (hostsOfZone: number): number => minDiscoveryMs * zoneSizeFactor(hostsOfZone);

/** Time after the start in which a host that reads no list of hosts claims no cell, in milliseconds. On a small host the first answer of
 * the store takes more than a second. */
const maxWaitForHostsMs = 3000;

/** Until when a host discovers the others of its zone, given when it started and when it first read the list of hosts, on the monotonic
 * clock. */
export const discoveryDeadline = (startedAt: number, hostsKnownAt: number | undefined, hostsOfZone: number): number =>
	Math.min(startedAt + maxWaitForHostsMs, hostsKnownAt ?? Infinity) + discoveryMs(hostsOfZone);

/** Pause before a cell is claimed again after the second fence in a row, in milliseconds; it doubles with each further one. */
const firstReclaimDelayMs = 300;

const maxReclaimDelayMs = 5000;

/** Pause before a cell is claimed again after this many fences in a row, in milliseconds. Two hosts that don't know of each other would
 * otherwise take the minions from each other without end. */
export const reclaimDelayMs = (fencesInRow: number): number =>
	fencesInRow <= 1 ? 0 : Math.min(maxReclaimDelayMs, firstReclaimDelayMs * (2 ** (fencesInRow - 2)));

/** Factor on the interval of status messages that nobody waits for. */
const idleStatusFactor = 3;

/**
 * Interval of the status messages from one host to another, in milliseconds. The hosts of a zone must detect the loss of a dispatcher
 * quickly; a dispatcher needs the free capacity of the others. It grows with the zone, so that the message rate of a host stays
 * about the same. While a job is pending between two hosts, `heartbeatMs` applies instead.
 */
export const statusIntervalMs = ({isDispatching, isToDispatcher, isSameZone, hostsOfZone}: {
	isDispatching: boolean;
	isToDispatcher: boolean;
	isSameZone: boolean;
	hostsOfZone: number;
}): number => {
	if (isDispatching && isSameZone) {
		return hostTiming.heartbeatMs;
	}

	const slowMs = hostTiming.heartbeatMs * zoneSizeFactor(hostsOfZone);
	return isDispatching && isToDispatcher ? slowMs : Math.max(slowMs, idleStatusFactor * hostTiming.heartbeatMs);
};

/** By how much the clocks of two machines may differ, in milliseconds. */
const maxClockDifferenceMs = 3_600_000;

/** Whether a start, in milliseconds since the Unix epoch, is later than the clock of any machine. */
export const isInFuture = (bornAt: number): boolean => bornAt > Date.now() + maxClockDifferenceMs;
