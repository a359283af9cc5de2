/** Plans the faults of a run: their kinds, times and durations. */
import {pickRandom, randomInteger, type Random} from 'chivestream-core';

/** Kinds of faults, by their names for `--faults`. */
export const faultKind = {
	kill: 'kill',
	pause: 'pause',
	/** A paused host is replaced, then resumes and runs beside its replacement. */
	replacedWhilePaused: 'replaced-while-paused',
	clockJump: 'clock-jump',
	plannedStop: 'planned-stop',
	zoneCut: 'zone-cut',
	oneWayCut: 'one-way-cut',
	hostCut: 'host-cut',
	logOutage: 'log-outage',
	/** Some minions receive the requests of some hosts, but their answers are lost. */
	minionCut: 'minion-cut',
	/** The log deletes its older records. */
	retention: 'retention',
	logSlow: 'log-slow',
	appendAnswerLost: 'append-answer-lost',
	lostAnswers: 'lost-answers',
	delays: 'delays',
	duplicates: 'duplicates',
	minionFailing: 'minion-failing',
	minionHanging: 'minion-hanging',
	minionStraggling: 'minion-straggling',
	minionCrossing: 'minion-crossing',
	minionRepeating: 'minion-repeating',
	minionRefusing: 'minion-refusing',
	minionDead: 'minion-dead',
	cancelWave: 'cancel-wave',
} as const;

/** Kind of a fault. */
export type FaultKind = (typeof faultKind)[keyof typeof faultKind];

/** One fault of a run; times are in milliseconds of the run's clock. */
export type Fault = {
	kind: FaultKind;
	/** When it starts. */
	at: number;
	/** When it ends. */
	until: number;
};

/** A run of several kinds has at least this number of faults and less than twice as many. */
const minFaultsPerRun = 20;
/** Low, so that faults of a single kind seldom overlap and the run shows the start and the end of each. */
const faultsOfSingleKind = 3;
const minFaultMs = 300;
const faultRangeMs = 9000;

const drawFaultCount = (random: Random, kinds: readonly FaultKind[]): number => {
	if (kinds.length <= 1) {
		return kinds.length * faultsOfSingleKind;
	}

	return minFaultsPerRun + randomInteger(random, minFaultsPerRun);
};

/** Draws faults of the given kinds between two times, sorted by their start. */
export const planFaults = (random: Random, kinds: readonly FaultKind[], from: number, until: number): Fault[] => {
	const faultCount = drawFaultCount(random, kinds);
	const faults = Array.from({length: faultCount}, () => {
		const at = from + (random() * (until - from));
		const durationMs = minFaultMs + (random() * random() * faultRangeMs);
		return {kind: pickRandom(random, kinds), at, until: Math.min(until, at + durationMs)};
	});
	return faults.toSorted((left, right) => left.at - right.at);
};
