/* eslint-disable camelcase -- names of the platform's protocol */
/** The store turns the dispatcher away while a minion's capacity shrinks. */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {now} from '../lib/record.js';
import {runScenario} from '../lib/site.js';

const taskCpu = 27_000;
const fullCpu = 64_000;
const shrunkCpu = 32_000;
/** A room that has shrunk counts `contact_ms` and one beat later. */
const countsAfterMs = 3000 + 1500;
const turnedAwayMs = 9000;
const taskMs = 200;

await runScenario(fileURLToPath(new URL('.', import.meta.url)), {zones: {'sv-a': {hosts: 3, minions: 4}}, cpu: fullCpu}, async (site, {hasTrouble}) => {
	const {hosts, minions, checker, record} = site;
	site.declare(1);
	for (const host of hosts) {
		host.start();
	}

	await site.untilReady();
	await sleep(2000);
	const dispatcher = hosts.find(host => host.isDispatching());
	if (hasTrouble) {
		record.note('store-turns-away', {host: dispatcher.name});
		dispatcher.door.setBusy(true);
	}

	await sleep(500);
	const [shrunk] = minions;
	shrunk.setCpu(shrunkCpu);
	const shrunkAt = now();
	const callers = [];
	while (now() < shrunkAt + turnedAwayMs - 500) {
		callers.push(site.submit(hosts[callers.length % hosts.length], site.createId(), {
			steps: [{
				count: 3, cpu: taskCpu, mem_mb: 64, estimate_ms: taskMs,
			}], spec: {ms: taskMs}, timeoutMs: 5000,
		}));
		// eslint-disable-next-line no-await-in-loop -- a steady rate
		await sleep(80);
	}

	dispatcher.door.setBusy(false);
	await Promise.all(callers);
	const runs = checker.runs.filter(run => run.minion === shrunk.id);
	let broken = 0;
	for (const run of runs.filter(other => other.startedAt > shrunkAt + countsAfterMs)) {
		const beside = runs.filter(other => other !== run && other.startedAt <= run.startedAt && other.endedAt > run.startedAt).length;
		if ((beside + 1) * taskCpu > shrunkCpu) {
			broken += 1;
			record.note('OVER-CAPACITY', {
				minion: shrunk.id, task: run.task, inUse: (beside + 1) * taskCpu, capacity: shrunkCpu, afterMs: Math.round(run.startedAt - shrunkAt),
			});
		}
	}

	record.note('summary', {runs: checker.runs.length, broken});
	console.log(`${broken} starts brought ${shrunk.id} over its capacity later than ${countsAfterMs} ms after it had shrunk`);
	return broken === 0;
});
