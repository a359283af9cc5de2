/** How much was refused or left unknown while a kind of fault lasted, and how long after its end. */
import {answerState, failureCode} from 'chivestream-core';
import {type Call, type CallerJob} from './callers.js';
import {type Fault} from './fault-plan.js';

/** Figures of one kind of fault. */
export type Unavailability = {
	/** Jobs first submitted while a fault of the kind lasted. */
	jobs: number;
	/** Share of them whose first call was answered with "not run". */
	refused: number;
	/** Share of them whose first call ended without it being known whether the job ran. */
	unknown: number;
	/** Longest time after a fault's end until jobs are served again, in milliseconds; only faults that no other one touches. */
	wholeAfterMs: number;
};

const settlingMs = 10_000;
const shareDigits = 1000;

/** Whether the job was refused; a caller who cancelled it got what it asked for. */
const isRefused = ({end}: Call): boolean => end?.kind === 'answered' && end.answer.state === answerState.failed
	&& end.answer.failure.notRun && end.answer.failure.code !== failureCode.cancelled;

const isUnknown = (call: Call): boolean => {
	const {end} = call;
	if (end?.kind !== 'answered') {
		return true;
	}

	if (end.answer.state !== answerState.failed || end.answer.failure.code === failureCode.cancelled) {
		return false;
	}

	return !end.answer.failure.notRun && end.answer.failure.tasks.unknown > 0;
};

const share = (part: number, whole: number): number => whole === 0 ? 0 : Math.round(part / whole * shareDigits) / shareDigits;

const measureKind = (jobs: readonly CallerJob[], faults: readonly Fault[], ofKind: readonly Fault[]): Unavailability => {
	const firstCalls = jobs.flatMap(({calls}) => calls.slice(0, 1));
	const within = firstCalls.filter(({sentAt}) => ofKind.some(({at, until}) => sentAt >= at && sentAt < until));
	const wholeAfter = ofKind.map(fault => {
		const later = firstCalls.filter(({sentAt}) => sentAt >= fault.until && sentAt < fault.until + settlingMs);
		const undisturbed = later.filter(({sentAt}) => faults.every(other => other === fault || sentAt < other.at || other.until + settlingMs < fault.at));
		const bad = undisturbed.filter(call => isRefused(call) || isUnknown(call));
		return Math.max(0, ...bad.map(({sentAt}) => sentAt - fault.until));
	});
	return {
		jobs: within.length,
		refused: share(within.filter(call => isRefused(call)).length, within.length),
		unknown: share(within.filter(call => isUnknown(call)).length, within.length),
		wholeAfterMs: Math.round(Math.max(0, ...wholeAfter)),
	};
};

/** Figures for each kind of fault of a run, and under `none` for the time without any. */
export const measureUnavailability = (jobs: readonly CallerJob[], faults: readonly Fault[], from: number, until: number): Record<string, Unavailability> => {
	const kinds = [...new Set(faults.map(({kind}) => kind))].toSorted((left, right) => left < right ? -1 : 1);
	const figures: Record<string, Unavailability> = {};
	for (const kind of kinds) {
		figures[kind] = measureKind(jobs, faults, faults.filter(fault => fault.kind === kind));
	}

	const calm = jobs.filter(({submittedAt}) => submittedAt >= from && faults.every(fault => submittedAt < fault.at || submittedAt >= fault.until + settlingMs));
	const calmFault: Fault = {kind: 'kill', at: from, until};
	figures.none = {...measureKind(calm, faults, [calmFault]), wholeAfterMs: 0};
	return figures;
};
