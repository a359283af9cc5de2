/** What happens to the system while the load runs. */
import {request} from 'undici';
import {
	readMetrics, sumMetric, type Cluster, type LaunchedEntry, type ProcessEnd,
} from '../cluster/index.js';

/** What the events showed. */
export type EventResult = {
	killedHostId: string;
	drainedHostId: string;
	/** How the drained entry host ended. */
	drainedEnd: ProcessEnd;
	/** Time from the append of a change until all live entry hosts had it in force, in milliseconds. */
	configurationInForceMs: number;
	/** When the drain of a minion was appended, in milliseconds since the Unix epoch. */
	minionDrainedAt: number;
	drainedMinionAddress: string;
};

/** When each event happens, in milliseconds since the start of the load. */
export const eventAt = {
	kill: 3000,
	configurationChange: 5000,
	drain: 6500,
	brokenConnections: 9000,
} as const;

const pollIntervalMs = 10;
const inForceTimeoutMs = 10_000;
const drainTimeoutMs = 30_000;
const brokenShare = 0.2;
const versionMetric = 'chivestream_configuration_version';

const pause = async (ms: number) => new Promise(resolve => {
	setTimeout(resolve, Math.max(0, ms));
});

const waitUntilInForce = async (entry: LaunchedEntry, version: number, deadline: number): Promise<void> => {
	/* eslint-disable no-await-in-loop -- each poll follows the one before */
	while (Date.now() < deadline) {
		const samples = await readMetrics(entry.callerAddress);
		if (samples && sumMetric(samples, versionMetric) >= version) {
			return;
		}

		await pause(pollIntervalMs);
	}
	/* eslint-enable no-await-in-loop */

	throw new Error(`${entry.process.name} did not put version ${version} in force`);
};

/** Drains a minion by a configuration change and tells how long that took to be in force everywhere. */
const changeConfiguration = async (cluster: Cluster, live: readonly LaunchedEntry[], minionId: string): Promise<number> => {
	const appendedAt = Date.now();
	await cluster.publish(1, {kind: 'drain', ids: [minionId]});
	const deadline = appendedAt + inForceTimeoutMs;
	await Promise.all(live.map(async entry => waitUntilInForce(entry, 2, deadline)));
	return Date.now() - appendedAt;
};

const breakConnections = async (cluster: Cluster) => {
	const {body} = await request(`http://${cluster.balancer.controlAddress}/break`, {
		method: 'POST', body: JSON.stringify({share: brokenShare}),
	});
	await body.dump();
};

/** Kills one entry host, drains another and a minion, and breaks connections. Times count from now. */
export const runEvents = async (cluster: Cluster): Promise<EventResult> => {
	const startedAt = Date.now();
	const waitFor = async (at: number) => pause(startedAt + at - Date.now());
	const [killed, drained] = [cluster.entries[1]!, cluster.entries.at(-1)!];
	const drainedMinion = cluster.fleets[0]!.minions[0]!;

	await waitFor(eventAt.kill);
	killed.process.signal('SIGKILL');

	await waitFor(eventAt.configurationChange);
	const minionDrainedAt = Date.now();
	const live = cluster.entries.filter(entry => entry !== killed);
	const configurationInForceMs = await changeConfiguration(cluster, live, drainedMinion.id);

	await waitFor(eventAt.drain);
	const drainedEnd = drained.process.stop(Date.now() + drainTimeoutMs);

	await waitFor(eventAt.brokenConnections);
	await breakConnections(cluster);
	return {
		killedHostId: killed.id,
		drainedHostId: drained.id,
		drainedEnd: await drainedEnd,
		configurationInForceMs,
		minionDrainedAt,
		drainedMinionAddress: drainedMinion.address,
	};
};
