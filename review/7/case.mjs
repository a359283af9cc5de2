/** A zone is cut off from the other zone and from the store, and the room of a minion there shrinks. See `claim.txt`. */
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {elapsedMs} from '../lib-2/record.mjs';
import {Sides} from '../lib-2/sides.mjs';
import {
	bounds, describe, isTroubled, loopbackIp, runCase, submitJob,
} from '../lib-2/site.mjs';
import {startMinion, startStore} from '../lib-2/stand-ins.mjs';

const zones = [{zone: 'sv-a', hosts: 3, minions: 2}, {zone: 'sv-b', hosts: 1, minions: 1}];
const service = 'tilbod';
const prefix = '/quotes/';
const taskMs = 900;
const taskCpu = 27_000;
const callerTimeoutMs = 1500;
const intervalMs = 100;
const lengthMs = 9000;
/** The length of the cut that the site file names. */
const cutMs = 5500;
const heartbeatMs = 1500;
const shrinkDelayMs = 100;
const fullCpu = 64_000;
const shrunkCpu = 32_000;

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async site => {
	const {record} = site;
	const store = await startStore(loopbackIp());
	const links = new Sides(store);
	site.closeables.push(links, store);
	site.configure(store, {service, prefix});
	const minions = [];
	for (const {zone, hosts, minions: count} of zones) {
		for (let number = 1; number <= count; number += 1) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			const minion = await startMinion({
				id: `i-${zone}-${number}`, ip: loopbackIp(), zone, service, cpu: fullCpu, holdMaxMs: bounds.hold_max_ms, store, record,
				workMs: () => taskMs, cpuOf: () => taskCpu,
			});
			minions.push(minion);
			site.closeables.push(minion);
		}

		// eslint-disable-next-line no-await-in-loop -- one after the other
		const entrance = await links.openEntrance(zone);
		for (let number = 1; number <= hosts; number += 1) {
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await links.addLink(await site.addHost({name: `front-${zone}-${number}`, zone, store: entrance}), zone);
		}
	}

	for (const host of site.hosts) {
		host.start();
	}

	await links.open();
	await site.untilInTouch();
	const loadedFrom = elapsedMs();
	const load = async () => {
		const answers = [];
		for (let number = 1; elapsedMs() < loadedFrom + lengthMs; number += 1) {
			const id = number.toString(16).padStart(16, '0');
			const host = site.hosts[number % zones[0].hosts];
			answers.push(submitJob(host, {
				path: prefix + id, spec: 'quote', cpu: taskCpu, taskMs, budgetMs: callerTimeoutMs,
			}).then(answer => {
				record.note(`response for job ${id} at ${host.name}: ${describe(answer)}`);
			}));
			// eslint-disable-next-line no-await-in-loop -- a steady rate
			await sleep(intervalMs);
		}

		await Promise.all(answers);
	};

	const loaded = load();
	await sleep(1000);
	if (isTroubled) {
		record.note('zone sv-a is cut off from the other zone and from the store; its clients still reach it');
		links.setCut(true);
		links.setStoreCut(zones[0].zone, true);
	}

	await sleep(shrinkDelayMs);
	const shrunkAt = elapsedMs();
	minions[0].setCpu(shrunkCpu);
	if (isTroubled) {
		await sleep(cutMs - shrinkDelayMs);
		links.setCut(false);
		links.setStoreCut(zones[0].zone, false);
		record.note('the cut has ended');
	}

	await loaded;
	// Room that has shrunk counts `contact_ms` and one beat later.
	const countsFrom = shrunkAt + bounds.contact_ms + heartbeatMs;
	record.note(`the shrunk room counts from ${countsFrom} ms`);
	return record.findOverLimit(minions[0].id, at => at < countsFrom ? fullCpu : shrunkCpu).map(text => `LIMIT: ${text}`);
});
