/** How a minion of a trace answers: it runs a task in a free slot, or refuses it when all are busy. */
import {type Clock} from 'chivestream-core';
import {type Deployment} from './trace.js';

/** What a minion says to a task. */
export const minionAnswer = {
	done: 'done',
	failed: 'failed',
	refused: 'refused',
} as const;

/** One of a minion's answers. */
export type MinionAnswer = (typeof minionAnswer)[keyof typeof minionAnswer];

/** A minion during a replay. */
export type MinionModel = {
	/** Starts a task that has just arrived, or refuses it. The answer comes when it ends; a minion that hangs never answers. */
	start: (workMs: number, answer: (answer: MinionAnswer) => void) => void;
	slowDown: (factor: number) => void;
	failAll: () => void;
	hang: () => void;
	/** Tasks that arrived while all slots were busy. */
	overruns: () => number;
};

const failMs = 1;

/** A minion that works at its stated speed until told otherwise. */
export const createMinionModel = (minion: Deployment['minions'][number], clock: Clock): MinionModel => {
	let {speed} = minion;
	let busy = 0;
	let overruns = 0;
	let isFailing = false;
	let isHanging = false;

	const run = (lengthMs: number, result: MinionAnswer, answer: (answer: MinionAnswer) => void) => {
		busy++;
		if (isHanging) {
			return;
		}

		clock.at(clock.now() + lengthMs, () => {
			busy--;
			answer(result);
		});
	};

	return {
		start(workMs, answer) {
			if (busy >= minion.slots) {
				overruns++;
				answer(minionAnswer.refused);
			} else if (isFailing) {
				run(failMs, minionAnswer.failed, answer);
			} else {
				run(workMs / speed, minionAnswer.done, answer);
			}
		},
		slowDown(factor) {
			speed /= factor;
		},
		failAll() {
			isFailing = true;
		},
		hang() {
			isHanging = true;
		},
		overruns: () => overruns,
	};
};
