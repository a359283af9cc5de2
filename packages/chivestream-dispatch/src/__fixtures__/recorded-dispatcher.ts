/** A dispatcher whose requests to minions are recorded, with a clock that the test advances. */
import {createRandom} from 'chivestream-core';
import {
	Dispatcher, type JobRequest, type Minion, type MinionRecord, type Outcome, type Run, type CellCapacity,
} from '../index.js';

/** A dispatcher and the requests that it has sent. */
export type RecordedDispatcher = {
	dispatcher: Dispatcher;
	/** Runs whose start was requested. */
	starts: Run[];
	/** Runs whose stop was requested. */
	stops: Run[];
	/** Log events. */
	events: Array<{event: string; fields: Record<string, unknown>}>;
	/** Free capacity of other cells that the dispatcher receives. */
	otherCells: CellCapacity[];
	/** Sets whether the registry lists every minion; it does at first. */
	setRegistryComplete: (isComplete: boolean) => void;
	/** Advances the clock. */
	advance: (ms: number) => void;
	now: () => number;
	minion: (id: string) => Minion;
	/** Submits a job and returns the list to which its outcomes are added. */
	submit: (request: JobRequest) => Outcome[];
	/** Restarts a minion: the registry lists a later incarnation, which reports that it has no runs. */
	restart: (id: string) => void;
	/** Applies a report of a minion, polled now. Runs are given as task and number, ended ones with how they ended. */
	report: (id: string, running?: Array<[string, number]>, ended?: Array<[string, number, 'done' | 'failed' | 'interrupted']>) => void;
};

/** Duration of a lease in the tests, in milliseconds. */
export const leaseMs = 1000;

/** Creates the record of a minion that can run two tasks of `jobRequest`. */
export const minionRecord = (id: string, changes: Partial<MinionRecord> = {}): MinionRecord => ({
	id,
	bornAt: 1,
	upstream: 'desk',
	address: '10.0.0.1:80',
	zone: 'z',
	isDraining: false,
	capacity: {millicores: 32_000, memoryMb: 65_536, accelerators: 0},
	labels: ['a', 'r1'],
	...changes,
});

/** Creates a job of one step with an objective at 200 ms and a deadline at 2 s. */
export const jobRequest = (id: string, changes: Partial<JobRequest> = {}, count = 1): JobRequest => ({
	id,
	payload: 'work',
	steps: [{
		count, millicores: 14_000, memoryMb: 64, accelerators: 0, estimateMs: 60, dependsOn: [],
	}],
	route: 'route',
	upstream: 'desk',
	priority: 0,
	maxAttempts: 2,
	objectiveDeadline: 200,
	deadline: 2000,
	submission: 0,
	mayHaveRun: false,
	...changes,
});

/** Creates a dispatcher with registered minions that have not reported their runs yet; `claim` is its fencing token. */
export const createRecordedDispatcher = (records: readonly MinionRecord[], claim = 1): RecordedDispatcher => {
	let time = 0;
	let isRegistryComplete = true;
	const starts: Run[] = [];
	const stops: Run[] = [];
	const otherCells: CellCapacity[] = [];
	const events: RecordedDispatcher['events'] = [];
	const dispatcher = new Dispatcher({
		now: () => time,
		random: createRandom(1),
		requestStart(run) {
			starts.push(run);
		},
		requestStop(run) {
			stops.push(run);
		},
		otherCells: () => otherCells,
		claim,
		isRegistryComplete: () => isRegistryComplete,
		knowsMinionsOfClaim: () => true,
		report(event, fields) {
			events.push({event, fields});
		},
	}, {leaseMs, farFactor: 3});
	dispatcher.setMinions(records);
	const minion = (id: string) => dispatcher.pool.minions.get(id)!;
	return {
		dispatcher,
		starts,
		stops,
		events,
		otherCells,
		minion,
		setRegistryComplete(isComplete) {
			isRegistryComplete = isComplete;
		},
		advance(ms) {
			time += ms;
		},
		now: () => time,
		restart(id) {
			const {record, bornAt} = minion(id);
			dispatcher.setMinions([...dispatcher.pool.minions.values()].map(other => other.record.id === id ? {...record, bornAt: bornAt + 1} : other.record));
			time += 10;
			dispatcher.handleReport(minion(id), {polledAt: time, running: [], ended: []});
		},
		submit(request) {
			const outcomes: Outcome[] = [];
			dispatcher.submit(request, outcome => {
				outcomes.push(outcome);
			});
			return outcomes;
		},
		report(id, running = [], ended = []) {
			dispatcher.handleReport(minion(id), {
				polledAt: time,
				running: running.map(([task, number]) => ({task, number, progress: 0})),
				ended: ended.map(([task, number, kind]) => ({task, number, kind})),
			});
		},
	};
};
