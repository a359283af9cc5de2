/** Replays a load against a dispatcher with simulated minions, on a simulated clock. */
import {createRandom, type Random} from 'chivestream-core';
import {
	defaultPolicy, Dispatcher, endKind, criticalPathMs, outcomeKind, runKey, startAnswer, type JobRequest, type MinionRecord, type Outcome,
	type DispatchPolicy, type Run, type RunEnd, type Step,
} from '../index.js';

/** A kind of job in the load, with means over its jobs. */
export type JobKind = {
	name: string;
	/** Mean arrival rate. */
	perSecond: number;
	/** Mean number of tasks of a job. */
	meanTasks: number;
	/** Mean run time of a task on a minion of nominal speed, in milliseconds. */
	workMs: number;
	/** Mean CPU of a task, in thousandths of a core. */
	millicores: number;
	/** 0 is the most urgent. */
	priority: number;
	/** Worth of a job of mean size that meets its objective. */
	worth: number;
};

/** A load to replay. Times are in milliseconds. */
export type Load = {
	seed: number;
	lengthMs: number;
	kinds: readonly JobKind[];
	/** Factor on the arrival rate at a time. */
	rateAt: (time: number) => number;
	minions: readonly SimulatedMinion[];
	/** Error of the estimated run times: standard deviation of their logarithm. */
	estimateSpread: number;
	/** Caller timeout as a multiple of the objective; 2 by default. The timeout is at least 1800 ms. */
	callerTimeoutFactor?: number;
	/** Policy of the dispatcher; the default policy if left out. */
	policy?: DispatchPolicy;
};

/** A simulated minion. */
export type SimulatedMinion = {
	record: MinionRecord;
	/** Factor on the nominal run time of a task that starts at a time. */
	factorAt: (time: number) => number;
	/** Whether a task that ends at a time fails; none fails by default. */
	failsAt?: (time: number) => boolean;
};

/** Numbers of jobs of one kind by their outcome. */
export type Tally = {
	submitted: number;
	/** Completed within the objective. */
	inObjective: number;
	/** Completed after the objective, and within three times the objective. */
	late: number;
	refused: number;
	/** All other outcomes. */
	failed: number;
	/** Longest time between the submission and the refusal of a job, in milliseconds. */
	longestRefusalMs: number;
};

/** Results of a replay. */
export type ReplayResult = {
	/** Tallies by kind of job. */
	tallies: Map<string, Tally>;
	/** Share of the total worth that was earned: all of a job within its objective, a fifth of one within three times that. */
	worth: number;
	/** Number of starts that exceeded the capacity of a minion. */
	overruns: number;
	/** Number of starts of a task while another run of it was active. */
	overlaps: number;
	/** Number of jobs that were refused although a task had started. */
	falseRefusals: number;
	/** Number of calls to the dispatcher: submissions, reports, start answers and ticks. */
	calls: number;
	/** Number of times that a minion was checked for a task. */
	minionChecks: number;
	/** Number of comparisons of two jobs. */
	comparisons: number;
};

/** An event of the replay; `order` increases with each scheduled event. */
type Event = {time: number; order: number; action: () => void};

type ActiveRun = {run: Run; endsAt: number};

/** Share of its worth that a late job earns. */
const lateWorthShare = 0.2;

/** Time within which a late job earns this share, as a multiple of its objective. */
const usefulTimeFactor = 3;

/** Constant part of an objective, in milliseconds. */
const targetLatencyMs = 60;

/** Factor on the run time of the longest task in an objective. */
const objectiveFactor = 1.6;

/** Interval between two ticks of the dispatcher, in milliseconds. */
const tickMs = 50;

/** Delay of each message between the dispatcher and a minion, in milliseconds. */
const networkMs = 0.2;

/** Creates the minions of a zone: every third has 48 cores, the others 32. Each minion gets the next of the run time factors. */
export const createMinions = (count: number, factors: readonly number[] = [1.6, 1, 0.6]): SimulatedMinion[] =>
	Array.from({length: count}, (_, index) => {
		const isLarge = index % 3 === 2;
		const factor = factors[index % factors.length] ?? 1;
		return {
			record: {
				id: `m${index}`,
				bornAt: 1,
				upstream: 'desk',
				address: '',
				zone: 'z',
				isDraining: false,
				capacity: {millicores: isLarge ? 48_000 : 32_000, memoryMb: 65_536, accelerators: 0},
				labels: [isLarge ? 'b' : 'a', `r${Math.floor(index / 8)}`],
			},
			factorAt: () => factor,
		};
	});

const normal = (random: Random): number =>
	Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

const logNormal = (random: Random, mean: number, sigma: number): number =>
	mean * Math.exp((sigma * normal(random)) - ((sigma ** 2) / 2));

/** Replays the load until no event is left. */
export const replay = (load: Load): ReplayResult => {
	const random = createRandom(load.seed);
	const events: Event[] = [];
	let time = 0;
	let order = 0;
	const schedule = (when: number, action: () => void) => {
		const event = {time: when, order, action};
		order += 1;
		let index = events.length;
		while (index > 0 && (events[index - 1]!.time < when || (events[index - 1]!.time === when && events[index - 1]!.order > event.order))) {
			index -= 1;
		}

		events.splice(index, 0, event);
	};

	/** Counts the checks of a minion for a task: each one reads the upstream of its record. */
	const countChecks = (record: MinionRecord): MinionRecord => ({
		...record,
		get upstream() {
			minionChecks += 1;
			return record.upstream;
		},
	});

	const activeRuns = new Map<string, Map<string, ActiveRun>>(load.minions.map(minion => [minion.record.id, new Map()]));
	const simulated = new Map(load.minions.map(minion => [minion.record.id, minion]));
	const workMsByTask = new Map<string, number>();
	const startedJobs = new Set<string>();
	const runsOfTask = new Map<string, number>();
	let overruns = 0;
	let overlaps = 0;
	let calls = 0;
	let minionChecks = 0;
	let comparisons = 0;
	const policy = load.policy ?? defaultPolicy;

	const listRunning = (id: string) => [...activeRuns.get(id)!.values()].map(({run}) => ({task: run.task, number: run.number, progress: 0}));

	const finish = (id: string, run: Run, kind: RunEnd['kind']) => {
		if (activeRuns.get(id)!.delete(runKey(run.task, run.number))) {
			runsOfTask.set(run.task, (runsOfTask.get(run.task) ?? 1) - 1);
			const polledAt = time;
			schedule(time + networkMs, () => {
				calls += 1;
				dispatcher.handleReport(run.minion, {polledAt, running: listRunning(id), ended: [{task: run.task, number: run.number, kind}]});
			});
		}
	};

	const startRun = (run: Run) => {
		const {id} = run.minion.record;
		const minion = simulated.get(id)!;
		const endsAt = time + (workMsByTask.get(run.task)! * minion.factorAt(time));
		activeRuns.get(id)!.set(runKey(run.task, run.number), {run, endsAt});
		startedJobs.add(run.task.slice(0, run.task.indexOf('.')));
		let millicores = 0;
		for (const other of activeRuns.get(id)!.values()) {
			millicores += other.run.resources.millicores;
		}

		overruns += millicores > minion.record.capacity.millicores ? 1 : 0;
		const runCount = (runsOfTask.get(run.task) ?? 0) + 1;
		runsOfTask.set(run.task, runCount);
		overlaps += runCount > 1 ? 1 : 0;
		schedule(endsAt, () => {
			finish(id, run, minion.failsAt?.(time) ? endKind.failed : endKind.done);
		});
		schedule(time + networkMs, () => {
			calls += 1;
			dispatcher.handleStartAnswer(run, startAnswer.started);
		});
	};

	const dispatcher = new Dispatcher({
		now: () => time,
		random,
		requestStart(run) {
			schedule(time + networkMs, () => {
				startRun(run);
			});
		},
		requestStop(run) {
			schedule(time + networkMs, () => {
				dispatcher.markStopConfirmed(run);
				finish(run.minion.record.id, run, endKind.interrupted);
			});
		},
		otherCells: () => [],
		claim: 1,
		isRegistryComplete: () => true,
		knowsMinionsOfClaim: () => true,
		report() {
			// Log events are not evaluated.
		},
	}, {leaseMs: 1000, farFactor: 3}, {
		...policy,
		compare(now) {
			const compare = policy.compare(now);
			return (one, other) => {
				comparisons += 1;
				return compare(one, other);
			};
		},
	});
	dispatcher.setMinions(load.minions.map(minion => countChecks(minion.record)));
	for (const minion of dispatcher.pool.minions.values()) {
		dispatcher.handleReport(minion, {polledAt: 0, running: [], ended: []});
	}

	const tallies = new Map<string, Tally>();
	let totalWorth = 0;
	let earnedWorth = 0;
	let falseRefusals = 0;

	const submit = (kind: JobKind, number: number) => {
		const id = number.toString(16).padStart(16, '0');
		const count = Math.max(1, Math.round(logNormal(random, kind.meanTasks, 0.4)));
		const nominalMs = logNormal(random, kind.workMs, 0.4);
		const step: Step = {
			count,
			millicores: Math.round(Math.min(kind.millicores * 1.43, logNormal(random, kind.millicores, 0.2))),
			memoryMb: 64,
			accelerators: 0,
			estimateMs: logNormal(random, nominalMs, load.estimateSpread),
			dependsOn: [],
		};
		let longestMs = 0;
		for (let index = 0; index < count; index += 1) {
			const taskMs = logNormal(random, nominalMs, 0.15);
			longestMs = Math.max(longestMs, taskMs);
			workMsByTask.set(`${id}.0.0.${index}`, taskMs);
		}

		const arrivedAt = time;
		const objectiveMs = (objectiveFactor * longestMs) + targetLatencyMs;
		const tally = tallies.get(kind.name) ?? {
			submitted: 0, inObjective: 0, late: 0, refused: 0, failed: 0, longestRefusalMs: 0,
		};
		tallies.set(kind.name, tally);
		tally.submitted += 1;
		const worth = kind.worth * (0.3 + (0.7 * Math.min(4, (count * nominalMs * step.millicores) / (kind.meanTasks * kind.workMs * kind.millicores))));
		totalWorth += worth;
		const request: JobRequest = {
			id,
			payload: '',
			steps: [step],
			route: kind.name,
			upstream: 'desk',
			priority: kind.priority,
			maxAttempts: 3,
			objectiveDeadline: arrivedAt + (objectiveFactor * criticalPathMs([step])) + targetLatencyMs,
			deadline: arrivedAt + Math.max(1800, objectiveMs * (load.callerTimeoutFactor ?? 2)),
			submission: 0,
			mayHaveRun: false,
		};
		calls += 1;
		dispatcher.submit(request, (outcome: Outcome) => {
			const tookMs = time - arrivedAt;
			if (outcome.kind === outcomeKind.completed && tookMs <= objectiveMs) {
				tally.inObjective += 1;
				earnedWorth += worth;
			} else if (outcome.kind === outcomeKind.completed && tookMs <= usefulTimeFactor * objectiveMs) {
				tally.late += 1;
				earnedWorth += worth * lateWorthShare;
			} else if (outcome.kind === outcomeKind.refused) {
				tally.refused += 1;
				tally.longestRefusalMs = Math.max(tally.longestRefusalMs, tookMs);
				falseRefusals += startedJobs.has(id) ? 1 : 0;
			} else {
				tally.failed += 1;
			}
		});
	};

	let number = 0;
	for (const kind of load.kinds) {
		let when = 0;
		for (;;) {
			when += (-Math.log(1 - random()) * 1000) / (kind.perSecond * load.rateAt(when));
			if (when >= load.lengthMs) {
				break;
			}

			number += 1;
			const jobNumber = number;
			schedule(when, () => {
				submit(kind, jobNumber);
			});
		}
	}

	for (let when = tickMs; when < load.lengthMs + 10_000; when += tickMs) {
		schedule(when, () => {
			calls += 1;
			dispatcher.tick();
		});
	}

	while (events.length > 0) {
		const event = events.pop()!;
		time = event.time;
		event.action();
	}

	return {
		tallies, worth: earnedWorth / totalWorth, overruns, overlaps, falseRefusals, calls, minionChecks, comparisons,
	};
};

/** The three kinds of job of the lens desk deployment, with the load of one of its three zones. */
export const lensDesk: readonly JobKind[] = [
	{
		name: 'frame-grade', perSecond: 8, meanTasks: 8, workMs: 60, millicores: 14_000, priority: 0, worth: 0.0291,
	},
	{
		name: 'lens-read', perSecond: 1.46, meanTasks: 4, workMs: 900, millicores: 14_000, priority: 2, worth: 0.16,
	},
	{
		name: 'box-tag', perSecond: 23.3, meanTasks: 2, workMs: 200, millicores: 14_000, priority: 1, worth: 0.01,
	},
];
