/** Replays a load against a dispatcher with simulated minions, on a clock of its own. */
import {createRandom, type Random} from 'chivestream-core';
import {
	defaultPolicy, Dispatcher, endKind, longestChainMs, outcomeKind, runKey, startAnswer, type JobRequest, type MinionRecord, type Outcome,
	type DispatchPolicy, type Run, type RunEnd, type Step,
} from '../index.js';

/** A kind of job, as the sheets of the users describe them. */
export type JobKind = {
	name: string;
	perSecond: number;
	width: number;
	workMs: number;
	millicores: number;
	priority: number;
	worth: number;
};

/** What to replay. Times are in milliseconds. */
export type Load = {
	seed: number;
	lengthMs: number;
	kinds: readonly JobKind[];
	/** Factor on the rate at a time. */
	rateAt: (time: number) => number;
	minions: readonly SimulatedMinion[];
	/** How far estimates are off: the spread of their logarithm. */
	estimateSpread: number;
	/** How long a caller waits, as a multiple of the objective, and at least. */
	patienceFactor?: number;
	policy?: DispatchPolicy;
};

/** A minion with the factor by which its tasks take longer than nominal, which may change with time. */
export type SimulatedMinion = {
	record: MinionRecord;
	factorAt: (time: number) => number;
	/** Whether a task that ends at a time fails. */
	failsAt?: (time: number) => boolean;
};

/** What became of the jobs of a kind. */
export type Tally = {
	asked: number;
	inObjective: number;
	late: number;
	refused: number;
	failed: number;
	/** Longest time that a job was held before it was refused. */
	longestRefusalMs: number;
};

/** What a replay found. */
export type Replayed = {
	tallies: Map<string, Tally>;
	/** Worth of the jobs that ended in time, and a fifth of it for those up to three times later, over all worth. */
	worth: number;
	/** Starts that brought a minion over its capacity. */
	overruns: number;
	/** Runs of one task that overlapped. */
	overlaps: number;
	/** Jobs that were refused although a task of theirs began. */
	falseRefusals: number;
	/** Calls of the dispatcher: jobs, reports, answers and ticks. */
	calls: number;
	/** How often a minion was looked at for a task, and two jobs were compared. */
	looks: number;
	comparisons: number;
};

type Event = {time: number; order: number; act: () => void};

type Active = {run: Run; endsAt: number};

const lateShare = 0.2;
const lateFactor = 3;
const targetLatencyMs = 60;
const stretch = 1.6;
const tickMs = 50;
const networkMs = 0.2;

/** Minions of a zone: two of three with 32 cores, one with 48, of three speeds. */
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

const spread = (random: Random, mean: number, sigma: number): number =>
	mean * Math.exp((sigma * normal(random)) - ((sigma ** 2) / 2));

/** Plays the load to its end. */
export const replay = (load: Load): Replayed => {
	const random = createRandom(load.seed);
	const events: Event[] = [];
	let time = 0;
	let order = 0;
	const at = (when: number, act: () => void) => {
		const event = {time: when, order, act};
		order += 1;
		let index = events.length;
		while (index > 0 && (events[index - 1]!.time < when || (events[index - 1]!.time === when && events[index - 1]!.order > event.order))) {
			index -= 1;
		}

		events.splice(index, 0, event);
	};

	/** The record, which counts how often a minion is looked at for a task. */
	const counted = (record: MinionRecord): MinionRecord => ({
		...record,
		get upstream() {
			looks += 1;
			return record.upstream;
		},
	});

	const active = new Map<string, Map<string, Active>>(load.minions.map(minion => [minion.record.id, new Map()]));
	const simulated = new Map(load.minions.map(minion => [minion.record.id, minion]));
	const work = new Map<string, number>();
	const begun = new Set<string>();
	const runsOfTask = new Map<string, number>();
	let overruns = 0;
	let overlaps = 0;
	let calls = 0;
	let looks = 0;
	let comparisons = 0;
	const policy = load.policy ?? defaultPolicy;

	const listed = (id: string) => [...active.get(id)!.values()].map(({run}) => ({task: run.task, number: run.number, progress: 0}));

	const finish = (id: string, run: Run, kind: RunEnd['kind']) => {
		if (active.get(id)!.delete(runKey(run.task, run.number))) {
			runsOfTask.set(run.task, (runsOfTask.get(run.task) ?? 1) - 1);
			const askedAt = time;
			at(time + networkMs, () => {
				calls += 1;
				dispatcher.noteReport(run.minion, {askedAt, running: listed(id), ended: [{task: run.task, number: run.number, kind}]});
			});
		}
	};

	const begin = (run: Run) => {
		const {id} = run.minion.record;
		const minion = simulated.get(id)!;
		const endsAt = time + (work.get(run.task)! * minion.factorAt(time));
		active.get(id)!.set(runKey(run.task, run.number), {run, endsAt});
		begun.add(run.task.slice(0, run.task.indexOf('.')));
		let millicores = 0;
		for (const other of active.get(id)!.values()) {
			millicores += other.run.room.millicores;
		}

		overruns += millicores > minion.record.capacity.millicores ? 1 : 0;
		const parallel = (runsOfTask.get(run.task) ?? 0) + 1;
		runsOfTask.set(run.task, parallel);
		overlaps += parallel > 1 ? 1 : 0;
		at(endsAt, () => {
			finish(id, run, minion.failsAt?.(time) ? endKind.failed : endKind.done);
		});
		at(time + networkMs, () => {
			calls += 1;
			dispatcher.noteStart(run, startAnswer.started);
		});
	};

	const dispatcher = new Dispatcher({
		now: () => time,
		random,
		orderStart(run) {
			at(time + networkMs, () => {
				begin(run);
			});
		},
		orderStop(run) {
			at(time + networkMs, () => {
				dispatcher.noteStop(run);
				finish(run.minion.record.id, run, endKind.interrupted);
			});
		},
		otherCells: () => [],
		report() {
			// The replay looks at outcomes only.
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
	dispatcher.setMinions(load.minions.map(minion => counted(minion.record)));
	for (const minion of dispatcher.book.minions.values()) {
		dispatcher.noteReport(minion, {askedAt: 0, running: [], ended: []});
	}

	const tallies = new Map<string, Tally>();
	let owed = 0;
	let earned = 0;
	let falseRefusals = 0;

	const submit = (kind: JobKind, number: number) => {
		const id = number.toString(16).padStart(16, '0');
		const count = Math.max(1, Math.round(spread(random, kind.width, 0.4)));
		const nominalMs = spread(random, kind.workMs, 0.4);
		const step: Step = {
			count,
			millicores: Math.round(Math.min(kind.millicores * 1.43, spread(random, kind.millicores, 0.2))),
			memoryMb: 64,
			accelerators: 0,
			estimateMs: spread(random, nominalMs, load.estimateSpread),
			dependsOn: [],
		};
		let longestMs = 0;
		for (let index = 0; index < count; index += 1) {
			const taskMs = spread(random, nominalMs, 0.15);
			longestMs = Math.max(longestMs, taskMs);
			work.set(`${id}.0.0.${index}`, taskMs);
		}

		const arrivedAt = time;
		const objectiveMs = (stretch * longestMs) + targetLatencyMs;
		const tally = tallies.get(kind.name) ?? {
			asked: 0, inObjective: 0, late: 0, refused: 0, failed: 0, longestRefusalMs: 0,
		};
		tallies.set(kind.name, tally);
		tally.asked += 1;
		const worth = kind.worth * (0.3 + (0.7 * Math.min(4, (count * nominalMs * step.millicores) / (kind.width * kind.workMs * kind.millicores))));
		owed += worth;
		const request: JobRequest = {
			id,
			payload: '',
			steps: [step],
			route: kind.name,
			upstream: 'desk',
			priority: kind.priority,
			maxAttempts: 3,
			objectiveDeadline: arrivedAt + (stretch * longestChainMs([step])) + targetLatencyMs,
			deadline: arrivedAt + Math.max(1800, objectiveMs * (load.patienceFactor ?? 2)),
			submission: 0,
			mayHaveRun: false,
		};
		calls += 1;
		dispatcher.submit(request, (outcome: Outcome) => {
			const tookMs = time - arrivedAt;
			if (outcome.kind === outcomeKind.completed && tookMs <= objectiveMs) {
				tally.inObjective += 1;
				earned += worth;
			} else if (outcome.kind === outcomeKind.completed && tookMs <= lateFactor * objectiveMs) {
				tally.late += 1;
				earned += worth * lateShare;
			} else if (outcome.kind === outcomeKind.refused) {
				tally.refused += 1;
				tally.longestRefusalMs = Math.max(tally.longestRefusalMs, tookMs);
				falseRefusals += begun.has(id) ? 1 : 0;
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
			at(when, () => {
				submit(kind, jobNumber);
			});
		}
	}

	for (let when = tickMs; when < load.lengthMs + 10_000; when += tickMs) {
		at(when, () => {
			calls += 1;
			dispatcher.tick();
		});
	}

	while (events.length > 0) {
		const event = events.pop()!;
		time = event.time;
		event.act();
	}

	return {
		tallies, worth: earned / owed, overruns, overlaps, falseRefusals, calls, looks, comparisons,
	};
};

/** The three kinds of job of the lens desk, for one of its three zones. */
export const lensDesk: readonly JobKind[] = [
	{
		name: 'frame-grade', perSecond: 8, width: 8, workMs: 60, millicores: 14_000, priority: 0, worth: 0.0291,
	},
	{
		name: 'lens-read', perSecond: 1.46, width: 4, workMs: 900, millicores: 14_000, priority: 2, worth: 0.16,
	},
	{
		name: 'box-tag', perSecond: 23.3, width: 2, workMs: 200, millicores: 14_000, priority: 1, worth: 0.01,
	},
];
