/** Simulated operators: they send concurrent commands through random entry hosts and resubmit those without a verdict. */
import {
	pickRandom, randomInteger, type Clock, type Declarations, type Random,
} from 'chivestream-core';
import {
	changeKind, recordKind, submitCommand, verdictOutcome, type Change, type Command,
} from 'chivestream-configuration';
import {type Cluster, type ClusterHost, zones} from './cluster.js';

/** A command whose acceptance an operator has received. */
export type AcceptedCommand = {
	command: Command;
	/** Configuration version that the command created. */
	version: number;
	/** When the operator received the acceptance, in milliseconds of the run's clock. */
	acknowledgedAt: number;
};

/** Operators of a run. */
export type Operators = {
	/** Accepted commands in the order of their acceptance. */
	accepted: AcceptedCommand[];
	/** Replaces all declarations; resolves once they are accepted, or when no attempt got a verdict. */
	declare: (declarations: Declarations) => Promise<void>;
	/** Sends commands of several operators at the same time, usually on the same version. */
	sendConcurrentCommands: () => void;
	/** Number of commands sent; resubmissions don't count. */
	sent: () => number;
};

/** Dependencies of the operators. */
export type OperatorsOptions = {
	clock: Clock;
	random: Random;
	cluster: Cluster;
	minionIds: readonly string[];
};

const verdictTimeoutMs = 3000;
const submitAttempts = 6;
const concurrentOperators = 2;
const maxDrainedMinions = 6;
const minionsPerZone = 10;
const slots = 8;
const connections = 64;

/** Declarations with one upstream of thirty minions. */
export const createDeclarations = (): Declarations => ({
	upstreams: {
		lens: {
			minions: zones.flatMap((zone, zoneIndex) => Array.from({length: minionsPerZone}, (_, index) => ({
				id: `${zone}-m${index}`, zone, address: `10.1.${zoneIndex}.${index + 1}:80`, slots, connections,
			}))),
			workers: [],
			notStartedStatuses: [503],
			preference: 'response-time',
		},
	},
	teams: {
		'day-a': {weight: 1, maxTasksInFlight: 1000},
		'day-b': {weight: 1, maxTasksInFlight: 1000},
	},
	drains: [],
	limits: {maxTasksPerJob: 180, maxDeadlineMs: 60_000, retryRatio: 0.1},
	objectives: [],
});

/** Creates the operators of one cluster. */
export const createOperators = ({
	clock, random, cluster, minionIds,
}: OperatorsOptions): Operators => {
	const accepted: AcceptedCommand[] = [];
	let sent = 0;

	const pickHost = (): ClusterHost | undefined => {
		const hosts = cluster.hosts();
		return hosts.length > 0 ? pickRandom(random, hosts) : undefined;
	};

	const submitThrough = async ({host, process, configurationStream}: ClusterHost, command: Command) => {
		await process.waitUntilActive();
		return submitCommand({
			stream: configurationStream, follower: host.follower, clock: process.clock, random,
		}, command, process.clock.now() + verdictTimeoutMs);
	};

	const submit = async (command: Command): Promise<void> => {
		sent += 1;
		for (let attempt = 0; attempt < submitAttempts; attempt++) {
			const target = pickHost();
			// eslint-disable-next-line no-await-in-loop -- attempts are sequential
			const submission = target && await Promise.race([submitThrough(target, command), target.process.ended]);
			if (submission && 'verdict' in submission) {
				if (submission.outcome === verdictOutcome.accepted) {
					accepted.push({command, version: submission.verdict.version, acknowledgedAt: clock.now()});
				}

				return;
			}
		}
	};

	const drawChange = (declarations: Declarations): Change => {
		const {drains} = declarations;
		const undrained = minionIds.filter(id => !drains.includes(id));
		const draw = random();
		if (draw < 0.4 && drains.length < maxDrainedMinions) {
			return {kind: changeKind.drain, ids: [pickRandom(random, undrained)]};
		}

		if (draw < 0.6 && drains.length > 0) {
			return {kind: changeKind.undrain, ids: [pickRandom(random, drains)]};
		}

		return {kind: changeKind.team, team: 'day-a', weight: 1 + randomInteger(random, 5)};
	};

	return {
		accepted,
		async declare(declarations) {
			await submit({
				kind: recordKind.command, commandId: 'declare', baseVersion: 0, author: 'owner', change: {kind: changeKind.replace, declarations},
			});
		},
		sendConcurrentCommands() {
			for (let operatorIndex = 0; operatorIndex < concurrentOperators; operatorIndex++) {
				const {configuration} = pickHost()?.host.follower.held ?? {};
				if (configuration && configuration.version > 0) {
					void submit({
						kind: recordKind.command,
						commandId: `command-${sent}`,
						baseVersion: configuration.version,
						author: `operator-${operatorIndex}`,
						change: drawChange(configuration.declarations),
					});
				}
			}
		},
		sent: () => sent,
	};
};
