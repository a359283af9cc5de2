/** Cost of renewing worker leases on an entry host, over HTTP on loopback, with stand-in workers in another process. */
import process from 'node:process';
import {systemClock} from 'chivestream-core';
import {launchStandIn} from 'chivestream-stand-ins';
import {createWorkerClient} from 'chivestream-worker';
import {measureSlopes, type Sampling, type Slope} from '../slope.js';
import {measureCpuMs, readProcessUsage} from '../usage.js';

const share = {cores: 1, memoryMb: 64, accelerators: 0};
const workerCores = 32;
const workerMemoryMb = 65_536;
const leaseMs = 60_000;
const rounds = 4; // Renewals of all leases per sample
const stopTimeoutMs = 5000;

const measureRenewals = async (addresses: readonly string[], leaseCount: number) => {
	const client = createWorkerClient({holder: 'entry-a-0/mf0c2x9kab12', clock: systemClock});
	const links = addresses.slice(0, leaseCount).map((address, index) => client.leaseClient({id: `worker-${index}`, address}));
	const leases = await Promise.all(links.map(async link => {
		const granted = await link.acquire(share, Date.now() + leaseMs);
		return {link, lease: granted.unwrap()};
	}));
	const renewAll = async () => {
		const renewed = await Promise.all(leases.map(async ({link, lease}) => link.renew(lease, Date.now() + leaseMs)));
		for (const result of renewed) {
			result.unwrap();
		}
	};

	await renewAll();
	const before = await readProcessUsage(process.pid);
	const cpuMs = await measureCpuMs(async () => {
		for (let round = 0; round < rounds; round++) {
			await renewAll(); // eslint-disable-line no-await-in-loop -- rounds of renewals are sequential
		}
	});
	const after = await readProcessUsage(process.pid);
	await Promise.all(leases.map(async ({link, lease}) => link.release(lease)));
	await client.close();
	return {cpu: cpuMs / rounds, traffic: (after.trafficBytes - before.trafficBytes) / rounds};
};

/** Metrics of one round of renewals by number of leases, each on a different worker. */
export const measureLeaseRenewals = async (sampling: Sampling): Promise<Slope[]> => {
	const standIn = await launchStandIn('worker', {
		count: Math.max(...sampling.sizes), cores: workerCores, 'memory-mb': workerMemoryMb,
	});
	try {
		return await measureSlopes({
			name: 'leases',
			size: 'leases held',
			units: {cpu: 'ms of CPU per round of renewals', traffic: 'bytes read and written per round of renewals'},
			measure: async size => measureRenewals(standIn.addresses, size),
		}, sampling);
	} finally {
		await standIn.process.stop(Date.now() + stopTimeoutMs);
	}
};
