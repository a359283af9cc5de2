/** A fake deployment of entry hosts for tests, with rows by host, a configuration in memory and links that can be cut. */
import {
	answerState, type Configuration, type Declarations, Failure, failureCode, type HostHistory, type JobAnswer, notRunCounts,
	preference,
} from 'chivestream-core';
import {Err, Ok} from 'ts-results-es';
import {type QueryablePeer} from '../peers/gather.js';
import {answerPeerRequest} from '../peers/requests.js';
import {
	type ConfigurationChange, type ConfigurationCommand, type HistoryEntry, type LocalSource, type OperatorSource,
	type Submission, submissionOutcome,
} from '../source.js';
import {type JobRow, type RowsByTable, type TableName} from '../tables/rows.js';

/** The declarations of version 0. */
export const testDeclarations: Declarations = {
	upstreams: {
		lens: {
			minions: [{
				id: 'm-1', zone: 'a', address: '127.0.0.1:1', slots: 8, connections: 64,
			}],
			workers: [],
			notStartedStatuses: [503],
			preference: preference.responseTime,
		},
	},
	teams: {'day-a': {weight: 1, maxTasksInFlight: 100}},
	drains: [],
	limits: {maxTasksPerJob: 180, maxDeadlineMs: 60_000, retryRatio: 0.1},
	objectives: [],
};

/** One entry host of the fake deployment. */
export type FakeHost = {
	host: string;
	zone: string;
	jobs: JobRow[];
	/** The configuration version in force on the host. */
	version: number;
	/** Why the host is unreachable; undefined while it is reachable. */
	cut?: string;
};

/** The fake deployment, with the state that tests change and inspect. */
export type FakeDeployment = {
	source: OperatorSource;
	hosts: FakeHost[];
	/** Commands that were submitted, in order. */
	submitted: ConfigurationCommand[];
	/** Jobs that were cancelled or stopped, in order. */
	cancelled: Array<{key: string; mode: string}>;
	/** Declarations by version. */
	versions: Declarations[];
	isLogDown: boolean;
};

const applyChange = (declarations: Declarations, change: ConfigurationChange, versions: Declarations[]): Declarations => {
	if (change.kind === 'drain') {
		return {...declarations, drains: [...declarations.drains, change.id]};
	}

	if (change.kind === 'undrain') {
		return {...declarations, drains: declarations.drains.filter(id => id !== change.id)};
	}

	if (change.kind === 'replace') {
		return change.declarations;
	}

	return change.kind === 'rollback' ? versions[change.version] ?? declarations : declarations;
};

const createLogFailure = () => new Failure(failureCode.logUnavailable, 'the log did not answer', {step: 'append', peer: 'log'});

const cancelledAnswer = (key: string): JobAnswer => ({
	key,
	state: answerState.failed,
	failure: {
		code: failureCode.cancelled, message: 'cancelled', step: 'cancel', peer: 'operator', notRun: true, tasks: notRunCounts(1),
	},
});

const emptyHistory = ({host, zone}: FakeHost): HostHistory => ({
	host, zone, since: 0, at: 60_000, from: 0, objectives: [],
});

const createLocalSource = (fake: FakeHost): LocalSource => ({
	self: {host: fake.host, zone: fake.zone},
	localRows<Table extends TableName>(table: Table): Array<RowsByTable[Table]> {
		const rows: {[Name in TableName]: Array<RowsByTable[Name]>} = {
			jobs: fake.jobs,
			upstreams: [],
			minions: [],
			workers: [],
			hosts: [],
			configuration: [{
				host: fake.host, zone: fake.zone, version: fake.version, offset: fake.version * 2, isLogReachable: true,
			}],
		};
		return rows[table];
	},
	localHistory: () => emptyHistory(fake),
});

const createPeer = (fake: FakeHost): QueryablePeer => ({
	host: fake.host,
	zone: fake.zone,
	async query(request) {
		return fake.cut === undefined
			? new Ok(answerPeerRequest(createLocalSource(fake), request))
			: new Err(new Failure(failureCode.connectionFailed, fake.cut, {step: 'query', peer: fake.host}));
	},
});

/** Creates a deployment whose first host serves the operators. */
export const createFakeDeployment = (hosts: FakeHost[]): FakeDeployment => {
	const history: HistoryEntry[] = [];
	const [first] = hosts;
	if (!first) {
		throw new Error('a deployment needs a host');
	}

	const configuration = (): Configuration => {
		const version = fake.versions.length - 1;
		return {version, offset: version * 2, declarations: fake.versions[version] ?? testDeclarations};
	};

	const accept = ({commandId, change}: ConfigurationCommand): Submission => {
		const {declarations} = configuration();
		fake.versions.push(applyChange(declarations, change, fake.versions));
		const {version, offset} = configuration();
		history.unshift({
			version, offset, at: 1000, commandId, summary: change.kind,
		});
		for (const host of hosts.filter(host => host.cut === undefined)) {
			host.version = version;
		}

		return {outcome: submissionOutcome.accepted, version, offset};
	};

	const submit = (command: ConfigurationCommand): Submission => {
		fake.submitted.push(command);
		const existing = history.find(entry => entry.commandId === command.commandId);
		if (existing) {
			return {outcome: submissionOutcome.accepted, version: existing.version, offset: existing.offset};
		}

		if (fake.isLogDown) {
			return {outcome: submissionOutcome.unknown, failure: createLogFailure()};
		}

		const {version} = configuration();
		if (command.baseVersion !== version) {
			return {outcome: submissionOutcome.beaten, version, commandId: history[0]?.commandId};
		}

		if (command.change.kind === 'quota' && !Object.hasOwn(testDeclarations.teams, command.change.team)) {
			return {outcome: submissionOutcome.invalid, faults: [`there is no team "${command.change.team}"`]};
		}

		return accept(command);
	};

	const source: OperatorSource = {
		...createLocalSource(first),
		peers: () => hosts.slice(1).map(host => createPeer(host)),
		async cancel(key, mode) {
			const home = hosts.find(host => host.jobs.some(job => job.key === key));
			if (home?.cut !== undefined) {
				return new Err(new Failure(failureCode.homeUnreachable, home.cut, {step: 'cancel', peer: home.host}));
			}

			if (!home) {
				return new Ok(undefined);
			}

			fake.cancelled.push({key, mode});
			return new Ok(cancelledAnswer(key));
		},
		configuration,
		history: async () => fake.isLogDown ? new Err(createLogFailure()) : new Ok(history),
		submit: async command => submit(command),
	};

	const fake: FakeDeployment = {
		source, hosts, submitted: [], cancelled: [], versions: [testDeclarations], isLogDown: false,
	};
	return fake;
};
