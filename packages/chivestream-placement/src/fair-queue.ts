/** Waiting tasks of one upstream. The team with the fewest running tasks for its weight is next; its jobs run by rank. */
import {createHeap, type Heap, type HeapNode} from './heap.js';
import {type QueuedTask} from './scheduler.js';

/** The waiting tasks of one job. */
export type JobGroup = {
	/** Key of the job. */
	key: string;
	waiting: Set<WaitingTask>;
	/** Rank of the job within its team; the lowest runs first. */
	rank: number;
	/** Declared run time of the job's longest task, in milliseconds. */
	longestTaskMs: number;
	/** In epoch milliseconds, as is `deadline`. */
	enqueuedAt: number;
	deadline: number;
};

/** A waiting task and its places in the queues. */
export type WaitingTask = {
	task: QueuedTask;
	group: JobGroup;
	team: TeamQueue;
	/** Order of arrival; breaks ties. */
	sequence: number;
	/** Place in the queue of its team; undefined when not queued. */
	queueNode: HeapNode<WaitingTask> | undefined;
	/** Place in the scheduler's heap of waiting tasks by deadline; undefined when not queued. */
	deadlineNode: HeapNode<WaitingTask> | undefined;
};

/** Waiting tasks and number of running tasks of one team. */
export type TeamQueue = {
	name: string;
	/** Share of the slots relative to the weights of other teams. */
	weight: number;
	/** Maximum number of tasks that this host may run for the team at once. */
	quota: number;
	/** Number of running tasks. */
	running: number;
	/** Sum of the declared run times of the waiting tasks, in milliseconds. */
	queuedMs: number;
	waiting: Heap<WaitingTask>;
	/** Place among the teams that may start a task; undefined when none waits or the quota is used up. */
	readyNode: HeapNode<TeamQueue> | undefined;
};

/** The queue of one upstream. */
export type FairQueue = {
	/** Number of waiting tasks. */
	size: () => number;
	/** The queue of a team; created with weight 1 and no quota if missing. */
	team: (name: string) => TeamQueue;
	teams: () => IterableIterator<TeamQueue>;
	/** Sets the weight and the quota of a team. */
	configureTeam: (name: string, weight: number, quota: number) => void;
	push: (waiting: WaitingTask) => void;
	remove: (waiting: WaitingTask) => void;
	/** The task to run next, which stays in the queue; undefined when no team may start one. */
	peek: () => WaitingTask | undefined;
	/** Counts a started task of the team. */
	start: (team: TeamQueue) => void;
	/** Counts an ended task of the team. */
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

/** Creates an empty queue. */
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

	// The team is removed from the ready heap before its fields change, since the heap relies on elements in order.
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
