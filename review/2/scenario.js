/* eslint-disable camelcase -- names of the platform's protocol */
/** All hosts of a zone are killed and restarted; their callers send the jobs again, to a host of another zone. */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {now} from '../lib/record.js';
import {runScenario} from '../lib/site.js';

const rounds = 6;
/** Time from the kill to the restart in the first round. */
const firstRestartDelayMs = 500;
/** Time from the kill to the first call of the new dispatcher that the later rounds aim at; how long a start takes depends on the machine. */
const aimedTakeoverMs = 780;
/** Between the jobs, so that the leases of the minions are not renewed all at once. */
const jobIntervalMs = 45;
const resendMs = 1300;
const jobCount = 8;
const taskMs = 3600;

/** Returns how long after the kill the next dispatcher called the minions; undefined without a kill. */
const runRound = async ({hosts, minions, record, submit, createId}, restartDelayMs, hasTrouble) => {
	const killed = hosts.filter(host => host.zone === 'sv-a');
	const others = hosts.filter(host => host.zone === 'sv-b');
	const job = {
		steps: [{
			count: 2, cpu: 27_000, mem_mb: 64, estimate_ms: taskMs,
		}], spec: {ms: taskMs},
	};

	/** A caller sends its job again after a broken connection, a 502 or a 504. */
	const runCaller = async index => {
		await sleep(index * jobIntervalMs);
		const id = createId();
		const first = await submit(killed[index % killed.length], id, job);
		if (first.error !== undefined || [502, 504].includes(first.status)) {
			await sleep(resendMs);
			await submit(others[index % others.length], id, job);
		}
	};

	const callers = Array.from({length: jobCount}, async (_, index) => runCaller(index));
	await sleep(1000);
	const killedAt = now();
	if (hasTrouble) {
		for (const host of killed) {
			host.signal('SIGKILL');
		}

		await Promise.all(killed.map(async host => host.waitForExit()));
		await sleep(restartDelayMs);
		for (const host of killed) {
			host.start();
		}
	}

	await Promise.all(callers);
	const takeoverMs = Math.min(...minions.filter(minion => minion.zone === 'sv-a').map(minion => minion.tokenChangedAt())) - killedAt;
	record.note('round', {restartDelayMs: Math.round(restartDelayMs), takeoverMs: Math.round(takeoverMs)});
	return hasTrouble ? takeoverMs : undefined;
};

await runScenario(fileURLToPath(new URL('.', import.meta.url)), {zones: {'sv-a': {hosts: 3, minions: 8}, 'sv-b': {hosts: 3, minions: 8}}}, async (site, {hasTrouble}) => {
	site.declare(1);
	for (const host of site.hosts) {
		host.start();
	}

	let restartDelayMs = firstRestartDelayMs;
	for (let round = 0; round < rounds; round += 1) {
		// eslint-disable-next-line no-await-in-loop -- one round after the other
		await site.untilReady();
		// eslint-disable-next-line no-await-in-loop
		await sleep(2000);
		// eslint-disable-next-line no-await-in-loop
		const takeoverMs = await runRound(site, restartDelayMs, hasTrouble);
		if (takeoverMs !== undefined) {
			restartDelayMs = Math.min(1000, Math.max(0, restartDelayMs + aimedTakeoverMs - takeoverMs));
		}
	}

	return site.reportOverlaps();
});
