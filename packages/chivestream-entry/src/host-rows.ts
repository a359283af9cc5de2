/** Rows of this entry host for the operators' tables. */
import process from 'node:process';
import {
	taskState, type Clock, type Configuration, type Host, type TaskState,
} from 'chivestream-core';
import {type Follower} from 'chivestream-configuration';
import {
	attemptDeadline,
	findJobState,
	progressDeadline,
	type ConfigurationRow,
	type HostRow,
	type JobRow,
	type MinionRow,
	type RowsByTable,
	type TableName,
	type UpstreamRow,
	type WorkerRow,
} from 'chivestream-operator';
import {type HostPhase} from 'chivestream-peer';
import {type Scheduler, type TargetView} from 'chivestream-placement';
import {type JobRun} from './job-run.js';

/** State of the host from which the rows are read. */
export type HostState = {
	self: Host;
	/** Milliseconds since the Unix epoch. */
	startedAt: number;
	clock: Clock;
	phase: () => HostPhase;
	configuration: () => Configuration | undefined;
	follower: Follower;
	scheduler: Scheduler;
	runs: () => IterableIterator<JobRun>;
};

const bytesPerMb = 1_048_576;

const countTasks = (states: readonly TaskState[], counted: TaskState): number =>
	states.filter(state => state === counted).length;

/** Time after which an unanswered job counts as late: the earliest of its deadline and the targets of its objectives. */
const lateDeadline = (run: JobRun, configuration: Configuration | undefined): number => {
	const targets = (configuration?.declarations.objectives ?? [])
		.filter(({team, upstream}) => team === run.job.team && upstream === run.job.upstream)
		.map(({targetMs}) => run.startedAt + targetMs);
	return Math.min(run.job.deadline, ...targets);
};

const readJob = (run: JobRun, {self, clock, configuration}: HostState): JobRow => {
	const now = clock.now();
	const attempts = [...run.attempts.values()];
	const deadline = lateDeadline(run, configuration());
	const jobProgressDeadline = progressDeadline(run.job.deadline, attempts.map(attempt => attemptDeadline(attempt.startedAt, attempt.declaredMs)));
	const running = countTasks(run.states, taskState.running);
	return {
		key: run.job.key,
		team: run.job.team,
		upstream: run.job.upstream,
		host: self.id,
		zone: self.zone,
		state: findJobState({deadline, progressDeadline: jobProgressDeadline, running}, now),
		age: now - run.startedAt,
		deadline: run.job.deadline,
		progressDeadline: jobProgressDeadline,
		tasks: run.states.length,
		queued: countTasks(run.states, taskState.queued),
		running,
		completed: countTasks(run.states, taskState.completed),
		failed: countTasks(run.states, taskState.failed),
		minions: attempts.filter(({isWorker}) => !isWorker).map(({targetId}) => targetId),
		workers: attempts.filter(({isWorker}) => isWorker).map(({targetId}) => targetId),
	};
};

const viewsById = (scheduler: Scheduler): Map<string, TargetView> =>
	new Map(scheduler.targets().map(view => [view.targetId, view]));

const readTarget = (view: TargetView | undefined) => ({
	state: view?.state ?? 'unreachable' as const,
	slots: view?.slots ?? 0,
	running: view?.running ?? 0,
	slowness: view?.slowness ?? 1,
});

const readUpstreams = ({self, scheduler, configuration}: HostState): UpstreamRow[] => {
	const loads = new Map(scheduler.load().map(load => [load.upstream, load]));
	const slots = new Map<string, number>();
	for (const view of scheduler.targets()) {
		slots.set(view.upstream, (slots.get(view.upstream) ?? 0) + view.slots);
	}

	return Object.entries(configuration()?.declarations.upstreams ?? {}).map(([name, upstream]) => ({
		name,
		host: self.id,
		zone: self.zone,
		minions: upstream.minions.length,
		workers: upstream.workers.length,
		slots: slots.get(name) ?? 0,
		queued: loads.get(name)?.queued ?? 0,
		running: loads.get(name)?.running ?? 0,
	}));
};

const readMinions = ({self, scheduler, configuration}: HostState): MinionRow[] => {
	const views = viewsById(scheduler);
	return Object.entries(configuration()?.declarations.upstreams ?? {}).flatMap(([upstream, {minions}]) =>
		minions.filter(({id}) => views.has(id)).map(({id, zone, address}) => ({
			id, upstream, zone, address, host: self.id, ...readTarget(views.get(id)),
		})));
};

const readWorkers = ({self, scheduler, configuration}: HostState): WorkerRow[] => {
	const views = viewsById(scheduler);
	return Object.entries(configuration()?.declarations.upstreams ?? {}).flatMap(([upstream, {workers}]) =>
		workers.filter(({id}) => views.has(id)).map(worker => {
			const {slots, ...target} = readTarget(views.get(worker.id));
			return {
				...worker, upstream, host: self.id, ...target,
			};
		}));
};

const readHost = (state: HostState): HostRow => ({
	id: state.self.id,
	region: state.self.region,
	zone: state.self.zone,
	incarnation: state.self.incarnation,
	state: state.phase(),
	age: state.clock.now() - state.startedAt,
	jobs: [...state.runs()].length,
	memoryMb: Math.round(process.memoryUsage.rss() / bytesPerMb),
	callerAddress: state.self.callerAddress,
	operatorAddress: state.self.operatorAddress,
});

const readConfiguration = ({self, configuration, follower}: HostState): ConfigurationRow => ({
	host: self.id,
	zone: self.zone,
	version: configuration()?.version ?? 0,
	offset: configuration()?.offset ?? -1,
	isLogReachable: follower.lastFailure === undefined,
});

const rowReaders: {[Table in TableName]: (state: HostState) => Array<RowsByTable[Table]>} = {
	jobs: state => [...state.runs()].map(run => readJob(run, state)),
	upstreams: readUpstreams,
	minions: readMinions,
	workers: readWorkers,
	hosts: state => [readHost(state)],
	configuration: state => [readConfiguration(state)],
};

/** Reads the rows of one table that come from this host's own state. */
export const readRows = <Table extends TableName>(state: HostState, table: Table): Array<RowsByTable[Table]> => rowReaders[table](state);
