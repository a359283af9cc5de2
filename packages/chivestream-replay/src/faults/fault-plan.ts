/** Draws the faults of a run: what happens, when, and for how long. */
import {pickRandom, randomInteger, type Random} from 'chivestream-core';

/** Kinds of faults. */
export const faultKind = {
	kill: 'kill',
	pause: 'pause',
	/** A paused host is replaced, and wakes beside its successor. */
	replacedWhilePaused: 'replaced-while-paused',
	clockJump: 'clock-jump',
	plannedStop: 'planned-stop',
	zoneCut: 'zone-cut',
	oneWayCut: 'one-way-cut',
	hostCut: 'host-cut',
	logOutage: 'log-outage',
	/** Minions that some hosts reach and don't hear. */
	minionCut: 'minion-cut',
	/** The log drops what is no longer young. */
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

/** One of the kinds. */
export type FaultKind = (typeof faultKind)[keyof typeof faultKind];

/** One fault of a run. */
export type Fault = {
	kind: FaultKind;
	at: number;
	until: number;
};

const faultsPerRun = 20;
/** Few faults of a single kind, so that each is seen to begin and to end. */
const faultsOfOneKind = 3;
const shortestMs = 300;
const longestMs = 9000;

const countFaults = (random: Random, kinds: readonly FaultKind[]): number => {
	if (kinds.length <= 1) {
		return kinds.length * faultsOfOneKind;
	}

	return faultsPerRun + randomInteger(random, faultsPerRun);
};

/** Faults of the given kinds between two times. */
export const planFaults = (random: Random, kinds: readonly FaultKind[], from: number, until: number): Fault[] => {
	const faultCount = countFaults(random, kinds);
	const faults = Array.from({length: faultCount}, () => {
		const at = from + (random() * (until - from));
		const lengthMs = shortestMs + (random() * random() * longestMs);
		return {kind: pickRandom(random, kinds), at, until: Math.min(until, at + lengthMs)};
	});
	return faults.toSorted((left, right) => left.at - right.at);
};
