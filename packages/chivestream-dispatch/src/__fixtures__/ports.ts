/** A dispatcher whose orders are recorded, on a clock that the test moves. */
import {createRandom} from 'chivestream-core';
import {
	Dispatcher, type JobRequest, type Minion, type MinionRecord, type Outcome, type Run, type CellRoom,
} from '../index.js';

/** A dispatcher with what it has ordered. */
export type RecordedDispatcher = {
	dispatcher: Dispatcher;
	starts: Run[];
	stops: Run[];
	otherCells: CellRoom[];
	/** Moves the clock by some milliseconds. */
	pass: (ms: number) => void;
	now: () => number;
	minion: (id: string) => Minion;
	/** The outcomes of a job that is submitted now. */
	submit: (request: JobRequest) => Outcome[];
	/** Reports what runs on a minion, as asked now. */
	report: (id: string, running?: Array<[string, number]>, ended?: Array<[string, number, 'done' | 'failed' | 'interrupted']>) => void;
};

/** Longest lease in the tests, in milliseconds. */
export const leaseMs = 1000;

/** A minion with room for two ordinary tasks. */
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

/** A job of one step whose objective is 200 ms away and whose caller waits for 2 s. */
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

/** Creates a dispatcher over some minions; they have not told yet what runs on them. */
export const createRecorded = (records: readonly MinionRecord[]): RecordedDispatcher => {
	let time = 0;
	const starts: Run[] = [];
	const stops: Run[] = [];
	const otherCells: CellRoom[] = [];
	const dispatcher = new Dispatcher({
		now: () => time,
		random: createRandom(1),
		orderStart(run) {
			starts.push(run);
		},
		orderStop(run) {
			stops.push(run);
		},
		otherCells: () => otherCells,
		report() {
			// Tests look at orders and outcomes.
		},
	}, {leaseMs, farFactor: 3});
	dispatcher.setMinions(records);
	const minion = (id: string) => dispatcher.book.minions.get(id)!;
	return {
		dispatcher,
		starts,
		stops,
		otherCells,
		minion,
		pass(ms) {
			time += ms;
		},
		now: () => time,
		submit(request) {
			const outcomes: Outcome[] = [];
			dispatcher.submit(request, outcome => {
				outcomes.push(outcome);
			});
			return outcomes;
		},
		report(id, running = [], ended = []) {
			dispatcher.noteReport(minion(id), {
				askedAt: time,
				running: running.map(([task, number]) => ({task, number, progress: 0})),
				ended: ended.map(([task, number, kind]) => ({task, number, kind})),
			});
		},
	};
};
