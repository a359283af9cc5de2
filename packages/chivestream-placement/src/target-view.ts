/** Minions and workers as an entry host's operators see them. */
import {type Pool} from './pool.js';
import {isQuarantined} from './quarantine.js';
import {geometricMean} from './speed.js';
import {type Target} from './target.js';

/** A minion or worker with this host's share of it. */
export type TargetView = {
	targetId: string;
	upstream: string;
	state: 'serving' | 'draining' | 'quarantined';
	/** Slots or cores that this host holds now, borrowed ones included and lent ones left out. */
	slots: number;
	running: number;
	/** Observed over declared run time. */
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

/** Views of all targets of the pools. */
export const viewTargets = (pools: Iterable<Pool>, now: number): TargetView[] =>
	[...pools].flatMap(pool => [...pool.targets.values()].map(target => ({
		targetId: target.id,
		upstream: pool.name,
		state: targetState(target, now),
		slots: target.allocatedUnits + sumCounts(target.grants.values()) - sumCounts(target.loans.values()),
		running: target.runningTasks,
		slowness: geometricMean(target.slowness),
	})));
