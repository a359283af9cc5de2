/** The part of a scheduler that shares what it learned of its targets with the other hosts of the zone. */
import {quarantine, isQuarantined} from './quarantine.js';
import {type Scheduler} from './scheduler.js';
import {type SchedulerState} from './scheduler-state.js';
import {estimateOf} from './speed.js';

const samplesToTrust = 3;
const sharedGain = 0.3;
const noticeableChange = 0.15;

/** Creates the decisions. Only what has changed noticeably is told. */
export const createObservationDecisions = (state: SchedulerState): Pick<Scheduler, 'observations' | 'observe'> => {
	const {clock, pools, refresh, wakeTarget} = state;
	const reported = new Map<string, number>();
	return {
		observations() {
			const now = clock.now();
			const changed = [];
			for (const pool of pools.values()) {
				for (const target of pool.targets.values()) {
					const isOut = isQuarantined(target.health, now) && target.health.hasOwnEvidence;
					const rank = isOut ? Number.POSITIVE_INFINITY : target.slowness.value;
					const last = reported.get(target.id) ?? 0;
					const hasChanged = rank !== last && !(Math.abs(rank - last) < noticeableChange);
					if (hasChanged && (isOut || target.slowness.samples >= samplesToTrust)) {
						reported.set(target.id, rank);
						changed.push({targetId: target.id, slowness: estimateOf(target.slowness), isQuarantined: isOut});
					}
				}
			}

			return changed;
		},
		observe(observations) {
			const now = clock.now();
			const byId = new Map(observations.map(observation => [observation.targetId, observation]));
			for (const pool of pools.values()) {
				for (const [targetId, observation] of byId) {
					const target = pool.targets.get(targetId);
					if (!target) {
						continue;
					}

					if (observation.isQuarantined && target.health.quarantines === 0) {
						quarantine(target.health, now);
						wakeTarget(pool, target, target.health.quarantinedUntil);
					}

					const gain = target.slowness.samples === 0 ? 1 : sharedGain;
					target.slowness.value += gain * (Math.log(observation.slowness) - target.slowness.value);
					refresh(pool, target, now);
				}
			}
		},
	};
};
