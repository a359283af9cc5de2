/** Intervals and bounds of the traffic between entry hosts, in milliseconds. */

/** The intervals. `silenceMs` stays below the time in which callers send a job again, so that two homes never overlap. */
export const hostTiming = {
	/** Between two messages of status on a stream. */
	heartbeatMs: 200,
	/** A host that has said nothing for so long is taken to be out of reach: three heartbeats. */
	silenceMs: 600,
	/** A dispatcher drops the jobs of a host that has said nothing, or has been away, for so long. */
	originSilenceMs: 700,
	/** After the loss of a dispatcher its jobs may begin in another zone only this much later: its own loss of the host
	 * and the longest lease have passed by then. */
	elsewhereMs: 1300,
	/** Pause before another connection to a host that can't be reached. */
	reconnectMs: 150,
	/** Between two looks at what has changed. */
	tickMs: 50,
	/** A gap between two looks after which the host takes itself to have been frozen. */
	frozenMs: 600,
	/** How long a job waits for a dispatcher to be found. */
	findDispatcherMs: 700,
	/** Time after the start in which other hosts are looked for before the zone is claimed. */
	gatherMs: 700,
	/** Hosts of the zone that have been silent for longer are taken to be gone. */
	forgetMs: 15_000,
	/** How long a host that was fenced off without seeing the others leaves the minions alone. */
	yieldMs: 5000,
} as const;
