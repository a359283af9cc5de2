/** What a dispatcher knows of its minions and of the runs on them. */
import {
	freeRoom, runKey, runState, unknownRoom, type Minion, type MinionRecord, type Run, type RunState,
} from './minion.js';
import {createSlowness, slownessFactor, type Slowness} from './slowness.js';

/** All minions of a dispatcher. Every run stands in it exactly as long as it may take room on its minion. */
export type Book = {
	minions: Map<string, Minion>;
	/** Runs of each task by its name, on any minion. */
	runsByTask: Map<string, Set<Run>>;
	/** Learned slowness of each kind of minion, by the first label. */
	kinds: Map<string, Slowness>;
	/** Counts the moments at which room may have come: a run has ended, or a minion may take work again. */
	roomChanges: number;
};

/** What to enter for a new run. */
export type RunEntry = Pick<Run, 'task' | 'number' | 'owner' | 'expectedMs'> & {
	now: number;
	state: RunState;
	room?: Run['room'];
};

/** Creates an empty book. */
export const createBook = (): Book => ({
	minions: new Map(), runsByTask: new Map(), kinds: new Map(), roomChanges: 0,
});

const createMinion = (record: MinionRecord): Minion => ({
	record,
	bornAt: record.bornAt,
	isSynced: false,
	isReachable: true,
	reportedAt: Number.NEGATIVE_INFINITY,
	isGone: false,
	runs: new Map(),
	slowness: createSlowness(),
	failuresInRow: 0,
	quarantinedUntil: 0,
	quarantineMs: 0,
	isOnProbation: false,
});

/** Enters a run; its room counts as taken from now on. */
export const enterRun = (book: Book, minion: Minion, entry: RunEntry): Run => {
	const run: Run = {
		task: entry.task,
		number: entry.number,
		minion,
		owner: entry.owner,
		room: entry.room ?? unknownRoom,
		state: entry.state,
		orderedAt: entry.now,
		confirmedAt: entry.state === runState.running ? entry.now : undefined,
		stopConfirmedAt: undefined,
		expectedMs: entry.expectedMs,
		progress: 0,
		progressedAt: entry.now,
		unaskedTicks: 0,
	};
	minion.runs.set(runKey(run.task, run.number), run);
	const ofTask = book.runsByTask.get(run.task) ?? new Set();
	ofTask.add(run);
	book.runsByTask.set(run.task, ofTask);
	return run;
};

/** Removes a run that takes no room any more and can't start any more. */
export const removeRun = (book: Book, run: Run): void => {
	book.roomChanges += 1;
	run.minion.runs.delete(runKey(run.task, run.number));
	const ofTask = book.runsByTask.get(run.task);
	ofTask?.delete(run);
	if (ofTask?.size === 0) {
		book.runsByTask.delete(run.task);
	}

	if (run.owner?.run === run) {
		run.owner.run = undefined;
	}
};

/** Enters a newly registered minion, or takes in what has changed of it. */
export const registerMinion = (book: Book, record: MinionRecord): Minion => {
	const minion = book.minions.get(record.id) ?? createMinion(record);
	book.minions.set(record.id, minion);
	minion.record = record;
	minion.isGone = false;
	book.roomChanges += 1;
	return minion;
};

/** The slowness to expect of a minion, from its own tasks and those of its kind. */
export const factorOf = (book: Book, minion: Minion): number =>
	slownessFactor(minion.slowness, kindOf(book, minion));

/** Learned slowness of the kind that a minion is of. */
export const kindOf = (book: Book, minion: Minion): Slowness => {
	const kind = minion.record.labels[0] ?? '';
	const known = book.kinds.get(kind) ?? createSlowness();
	book.kinds.set(kind, known);
	return known;
};

/** Whole tasks of a given size that a minion has room for now. */
export const freeTasks = (minion: Minion, millicores: number): number =>
	Math.max(0, Math.floor(freeRoom(minion).millicores / Math.max(1, millicores)));
