/* eslint-disable camelcase -- names of the platform's protocol */
/** The dispatcher of a zone is restarted as planned while some minions are cut off from the store, but not from the hosts. */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runScenario} from '../lib/site.js';

const rounds = 4;
const taskMs = 3600;
const cutMs = 5000;
const jobsAfterMs = 2600;
const restartAfterMs = 4900;
const jobCount = 18;

const runRound = async ({hosts, minions, record, submit, createId}, round, hasTrouble) => {
	const dispatcher = hosts.find(host => host.isDispatching());
	const others = hosts.filter(host => host !== dispatcher);
	// A fifth of the minions, other ones in each round.
	const cut = [minions[(2 * round) % minions.length], minions[((2 * round) + 1) % minions.length]];
	record.note('round', {round, dispatcher: dispatcher.name, cut: cut.map(minion => minion.id)});
	const setPaths = isOpen => {
		for (const minion of hasTrouble ? cut : []) {
			minion.setStorePath(isOpen);
		}
	};

	setPaths(false);
	await sleep(jobsAfterMs);
	const callers = Array.from({length: jobCount}, async (_, index) => submit(others[index % others.length], createId(), {
		steps: [{
			count: 1, cpu: 27_000, mem_mb: 64, estimate_ms: taskMs,
		}], spec: {ms: taskMs},
	}));
	await sleep(restartAfterMs - jobsAfterMs);
	// Planned: without the cut, it breaks nothing.
	dispatcher.signal('SIGTERM');
	await sleep(cutMs - restartAfterMs);
	setPaths(true);
	await Promise.all([...callers, dispatcher.waitForExit()]);
	dispatcher.start();
	await sleep(2000);
};

await runScenario(fileURLToPath(new URL('.', import.meta.url)), {zones: {'sv-a': {hosts: 3, minions: 10}}}, async (site, {hasTrouble}) => {
	site.declare(1);
	for (const host of site.hosts) {
		host.start();
	}

	await site.untilReady();
	await sleep(2000);
	for (let round = 0; round < rounds; round += 1) {
		// eslint-disable-next-line no-await-in-loop -- one round after the other
		await runRound(site, round, hasTrouble);
	}

	return site.reportOverlaps();
});
