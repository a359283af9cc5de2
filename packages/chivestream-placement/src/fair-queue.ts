/** Waiting tasks of one upstream: fair over teams by work in flight, in job order within a team. */
import {createHeap, type Heap, type HeapNode} from './heap.js';
import {type QueuedTask} from './scheduler.js';

/** The waiting tasks of one job. */
export type JobGroup = {
	key: string;
	waiting: Set<WaitingTask>;
	/** Rank of the job within its team; lower goes first. */
	rank: number;
	/** Declared run time of the job's longest task. */
	longestTaskMs: number;
	enqueuedAt: number;
	deadline: number;
};

/** A task in the queue. */
export type WaitingTask = {
	task: QueuedTask;
	group: JobGroup;
	team: TeamQueue;
	sequence: number;
	queueNode: HeapNode<WaitingTask> | undefined;
	deadlineNode: HeapNode<WaitingTask> | undefined;
};

/** One team's waiting tasks and what it has running. */
export type TeamQueue = {
	name: string;
	weight: number;
	/** Most tasks this host may run for the team at once. */
	quota: number;
	running: number;
	/** Sum of the declared run times of the waiting tasks. */
	queuedMs: number;
	waiting: Heap<WaitingTask>;
	/** Place among the teams that may start a task; undefined when it may not. */
	readyNode: HeapNode<TeamQueue> | undefined;
};

/** The queue of one upstream. */
export type FairQueue = {
	size: () => number;
	team: (name: string) => TeamQueue;
	teams: () => IterableIterator<TeamQueue>;
	configureTeam: (name: string, weight: number, quota: number) => void;
	push: (waiting: WaitingTask) => void;
	remove: (waiting: WaitingTask) => void;
	/** The task that is due next, left in the queue. */
	peek: () => WaitingTask | undefined;
	/** Counts a task as started. */
	start: (team: TeamQueue) => void;
	/** Counts a task as ended. */
	end: (team: TeamQueue) => void;
};

const isTaskBefore = (left: WaitingTask, right: WaitingTask): boolean => {
	if (left.group.rank !== right.group.rank) {
		return left.group.rank < right.group.rank;
	}

	if (left.task.declaredMs !== right.task.declaredMs) {
		return left.task.declaredMs > right.task.declaredMs;
	}

	return left.sequence < right.sequence;
};

const isTeamBefore = (left: TeamQueue, right: TeamQueue): boolean => {
	const leftLoad = left.running / left.weight;
	const rightLoad = right.running / right.weight;
	if (leftLoad !== rightLoad) {
		return leftLoad < rightLoad;
	}

	return isTaskBefore(left.waiting.peek()!, right.waiting.peek()!);
};

/** An empty queue. */
export const createFairQueue = (): FairQueue => {
	const teams = new Map<string, TeamQueue>();
	const ready = createHeap(isTeamBefore);
	let size = 0;

	const team = (name: string): TeamQueue => {
		let queue = teams.get(name);
		if (!queue) {
			queue = {
				name,
				weight: 1,
				quota: Number.POSITIVE_INFINITY,
				running: 0,
				queuedMs: 0,
				waiting: createHeap(isTaskBefore),
				readyNode: undefined,
			};
			teams.set(name, queue);
		}

		return queue;
	};

	const refresh = (queue: TeamQueue) => {
		const isReady = queue.waiting.size() > 0 && queue.running < queue.quota;
		if (queue.readyNode && !isReady) {
			ready.remove(queue.readyNode);
			queue.readyNode = undefined;
		} else if (queue.readyNode) {
			ready.update(queue.readyNode);
		} else if (isReady) {
			queue.readyNode = ready.push(queue);
		}
	};

	// A team must leave the ready heap before its order changes: a heap compares only elements that stand in order.
	const updateTeam = (queue: TeamQueue, apply: () => void) => {
		if (queue.readyNode) {
			ready.remove(queue.readyNode);
			queue.readyNode = undefined;
		}

		apply();
		refresh(queue);
	};

	return {
		size: () => size,
		team,
		teams: () => teams.values(),
		configureTeam(name, weight, quota) {
			const queue = team(name);
			updateTeam(queue, () => {
				queue.weight = weight;
				queue.quota = quota;
			});
		},
		push(waiting) {
			const queue = waiting.team;
			updateTeam(queue, () => {
				waiting.queueNode = queue.waiting.push(waiting);
				queue.queuedMs += waiting.task.declaredMs;
				size++;
			});
		},
		remove(waiting) {
			const queue = waiting.team;
			const node = waiting.queueNode;
			if (!node) {
				return;
			}

			updateTeam(queue, () => {
				queue.waiting.remove(node);
				waiting.queueNode = undefined;
				queue.queuedMs = queue.waiting.size() === 0 ? 0 : queue.queuedMs - waiting.task.declaredMs;
				size--;
			});
		},
		peek: () => ready.peek()?.waiting.peek(),
		start(queue) {
			updateTeam(queue, () => {
				queue.running++;
			});
		},
		end(queue) {
			updateTeam(queue, () => {
				queue.running--;
			});
		},
	};
};
