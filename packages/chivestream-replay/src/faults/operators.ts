/** Operators in memory, who race each other through different entry hosts and submit again what got no verdict. */
import {
	pickRandom, randomInteger, type Clock, type Declarations, type Random,
} from 'chivestream-core';
import {
	changeKind, recordKind, submitCommand, verdictOutcome, type Change, type Command,
} from 'chivestream-configuration';
import {type Cluster, type ClusterHost, zones} from './cluster.js';

/** A command that an operator was told is accepted. */
export type AcceptedCommand = {
	command: Command;
	version: number;
	/** When the operator was told. */
	toldAt: number;
};

/** Operators of a run. */
export type Operators = {
	accepted: AcceptedCommand[];
	/** Declares everything; resolves once it is accepted. */
	declare: (declarations: Declarations) => Promise<void>;
	/** Lets a few operators send commands on the same version at once. */
	race: () => void;
	/** Commands that were sent. */
	sent: () => number;
};

/** What the operators work with. */
export type OperatorsOptions = {
	clock: Clock;
	random: Random;
	cluster: Cluster;
	minionIds: readonly string[];
};

const verdictMs = 3000;
const retries = 6;
const racers = 2;
const mostDrained = 6;
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

/** Operators over one cluster. */
export const createOperators = ({
	clock, random, cluster, minionIds,
}: OperatorsOptions): Operators => {
	const accepted: AcceptedCommand[] = [];
	let sent = 0;

	const pickHost = (): ClusterHost | undefined => {
		const hosts = cluster.hosts();
		return hosts.length > 0 ? pickRandom(random, hosts) : undefined;
	};

	const submitThrough = async ({host, run, configurationStream}: ClusterHost, command: Command) => {
		await run.gate();
		return submitCommand({
			stream: configurationStream, follower: host.follower, clock: run.clock, random,
		}, command, run.clock.now() + verdictMs);
	};

	const submit = async (command: Command): Promise<void> => {
		sent += 1;
		for (let attempt = 0; attempt < retries; attempt++) {
			const target = pickHost();
			// eslint-disable-next-line no-await-in-loop -- each attempt follows the one before
			const submission = target && await Promise.race([submitThrough(target, command), target.run.ended]);
			if (submission && 'verdict' in submission) {
				if (submission.outcome === verdictOutcome.accepted) {
					accepted.push({command, version: submission.verdict.version, toldAt: clock.now()});
				}

				return;
			}
		}
	};

	const drawChange = (declarations: Declarations): Change => {
		const {drains} = declarations;
		const free = minionIds.filter(id => !drains.includes(id));
		const draw = random();
		if (draw < 0.4 && drains.length < mostDrained) {
			return {kind: changeKind.drain, ids: [pickRandom(random, free)]};
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
		race() {
			for (let racer = 0; racer < racers; racer++) {
				const {configuration} = pickHost()?.host.follower.held ?? {};
				if (configuration && configuration.version > 0) {
					void submit({
						kind: recordKind.command,
						commandId: `command-${sent}`,
						baseVersion: configuration.version,
						author: `operator-${racer}`,
						change: drawChange(configuration.declarations),
					});
				}
			}
		},
		sent: () => sent,
	};
};
