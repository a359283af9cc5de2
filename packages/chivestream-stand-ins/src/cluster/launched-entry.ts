/** Starts an entry host as a process of its own. */
import {writeFile} from 'node:fs/promises';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {launchProcess, type LaunchedProcess} from './launched-process.js';

/** What the settings of an entry host name. */
export type EntryOptions = {
	id: string;
	zone: string;
	callerAddress: string;
	peerAddress: string;
	operatorAddress: string;
	logAddress: string;
	hostsAddress: string;
	/** The other entry hosts. */
	peers: Array<{id: string; zone: string; address: string}>;
	logLevel?: string;
	limits?: Record<string, number>;
	/** Directory for the settings file. */
	directory: string;
	/** Options of Node.js itself. */
	nodeOptions?: string[];
};

/** An entry host that runs as its own process. */
export type LaunchedEntry = {
	id: string;
	zone: string;
	callerAddress: string;
	peerAddress: string;
	operatorAddress: string;
	process: LaunchedProcess;
};

/** Token that the entry hosts of a cluster ask of operators. */
export const clusterOperatorToken = 'cluster-operator-token';

const region = 'region-1';
const pollIntervalMs = 50;
const script = fileURLToPath(new URL('../../../chivestream-entry/bin/chivestream-entry.js', import.meta.url));

const createSettings = (options: EntryOptions) => ({
	host: {id: options.id, region, zone: options.zone},
	listen: {caller: options.callerAddress, peer: options.peerAddress, operator: options.operatorAddress},
	platform: {logs: [`http://${options.logAddress}`], hosts: `http://${options.hostsAddress}`},
	peers: options.peers.filter(peer => peer.id !== options.id),
	operatorToken: clusterOperatorToken,
	limits: options.limits,
	logLevel: options.logLevel ?? 'error',
});

/** Starts an entry host without waiting until it is ready. */
export const launchEntry = async (options: EntryOptions): Promise<LaunchedEntry> => {
	const settingsPath = join(options.directory, `${options.id}.json`);
	await writeFile(settingsPath, JSON.stringify(createSettings(options), undefined, '\t'));
	const {
		id, zone, callerAddress, peerAddress, operatorAddress, nodeOptions,
	} = options;
	const process = launchProcess({
		name: `entry host ${id}`, script, arguments: ['--settings', settingsPath], nodeOptions,
	});
	return {
		id, zone, callerAddress, peerAddress, operatorAddress, process,
	};
};

const isReady = async (address: string): Promise<boolean> => {
	try {
		const {statusCode, body} = await request(`http://${address}/readyz`);
		await body.dump();
		return statusCode === 200;
	} catch {
		return false;
	}
};

/** Resolves once the entry host takes jobs; throws when it ends or the deadline passes before. */
export const waitUntilReady = async (entry: LaunchedEntry, deadline: number): Promise<void> => {
	/* eslint-disable no-await-in-loop -- each poll follows the one before */
	while (!await isReady(entry.callerAddress)) {
		if (entry.process.hasEnded() || Date.now() > deadline) {
			throw new Error(`${entry.process.name} did not become ready: ${entry.process.errorTail()}`);
		}

		await new Promise(resolve => {
			setTimeout(resolve, pollIntervalMs);
		});
	}
	/* eslint-enable no-await-in-loop */
};
