/** Read-only views of minions and workers, for operators. */
import {type Pool} from './pool.js';
import {isQuarantined} from './quarantine.js';
import {geometricMean} from './speed.js';
import {type Target} from './target.js';

/** State of a minion or worker, with this host's share of it. */
export type TargetView = {
	targetId: string;
	upstream: string;
	state: 'serving' | 'draining' | 'quarantined';
	/** Slots or cores of this host's share, plus borrowed and minus lent ones. */
	slots: number;
	/** Tasks of this host that run on the target. */
	running: number;
	/** Ratio of observed to declared run time. */
	slowness: number;
};

const sumCounts = (entries: Iterable<{count: number}>): number => {
	let sum = 0;
	for (const {count} of entries) {
		sum += count;
	}

	return sum;
};

const targetState = (target: Target, now: number): TargetView['state'] => {
	if (target.isDraining) {
		return 'draining';
	}

	return isQuarantined(target.health, now) ? 'quarantined' : 'serving';
};

/** Returns a view of each target of the pools. */
export const viewTargets = (pools: Iterable<Pool>, now: number): TargetView[] =>
	[...pools].flatMap(pool => [...pool.targets.values()].map(target => ({
		targetId: target.id,
		upstream: pool.name,
		state: targetState(target, now),
		slots: target.allocatedUnits + sumCounts(target.grants.values()) - sumCounts(target.loans.values()),
		running: target.runningTasks,
		slowness: geometricMean(target.slowness),
	})));
