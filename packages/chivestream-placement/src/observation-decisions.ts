/** The part of the scheduler that exchanges observations of targets with the other hosts of the zone. */
import {startQuarantine, isQuarantined} from './quarantine.js';
import {type Scheduler} from './scheduler.js';
import {type SchedulerState} from './scheduler-state.js';
import {geometricMean} from './speed.js';

/** Slowness is published once this many run times have been observed. */
const minSamplesToReport = 3;
/** Weight of an observation of another host once local run times have been observed. */
const remoteObservationGain = 0.3;
/** Smallest change of the logarithm of slowness that is published; 0.15 is a factor of about 1.16. */
const minReportedChange = 0.15;

/** Creates the part of the scheduler that exchanges observations; only noticeable changes are published. */
export const createObservationDecisions = (state: SchedulerState): Pick<Scheduler, 'observations' | 'applyObservations'> => {
	const {clock, pools, refresh, scheduleRefresh} = state;
	// Last published logarithm of slowness by target id; infinity if the target was published as quarantined.
	const lastReportedLevels = new Map<string, number>();
	return {
		observations() {
			const now = clock.now();
			const changed = [];
			for (const pool of pools.values()) {
				for (const target of pool.targets.values()) {
					const isLocallyQuarantined = isQuarantined(target.health, now) && target.health.hasLocalFailures;
					const level = isLocallyQuarantined ? Number.POSITIVE_INFINITY : target.slowness.value;
					const lastLevel = lastReportedLevels.get(target.id) ?? 0;
					const hasChanged = level !== lastLevel && !(Math.abs(level - lastLevel) < minReportedChange);
					if (hasChanged && (isLocallyQuarantined || target.slowness.samples >= minSamplesToReport)) {
						lastReportedLevels.set(target.id, level);
						changed.push({targetId: target.id, slowness: geometricMean(target.slowness), isQuarantined: isLocallyQuarantined});
					}
				}
			}

			return changed;
		},
		applyObservations(observations) {
			const now = clock.now();
			const byId = new Map(observations.map(observation => [observation.targetId, observation]));
			for (const pool of pools.values()) {
				for (const [targetId, observation] of byId) {
					const target = pool.targets.get(targetId);
					if (!target) {
						continue;
					}

					if (observation.isQuarantined && target.health.quarantineCount === 0) {
						startQuarantine(target.health, now);
						scheduleRefresh(pool, target, target.health.quarantinedUntil);
					}

					const gain = target.slowness.samples === 0 ? 1 : remoteObservationGain;
					target.slowness.value += gain * (Math.log(observation.slowness) - target.slowness.value);
					refresh(pool, target, now);
				}
			}
		},
	};
};
