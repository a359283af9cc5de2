/** Measures how many jobs were refused or had an unknown outcome during each kind of fault, and the recovery time after it. */
import {answerState, failureCode} from 'chivestream-core';
import {type Call, type CallerJob} from './callers.js';
import {type Fault} from './fault-plan.js';

/** Availability during one kind of fault; shares are between 0 and 1. */
export type Unavailability = {
	/** Number of jobs first submitted during a fault of the kind. */
	jobs: number;
	/** Share of them whose first call was answered with "not run". */
	refused: number;
	/** Share of them whose first call ended without an answer that states whether the job ran. */
	unknown: number;
	/** Latest refused or unknown call after the end of a fault, in milliseconds since that end; calls that another fault may affect don't count. */
	wholeAfterMs: number;
};

const recoveryWindowMs = 10_000;
/** Shares are rounded to three decimals. */
const shareScale = 1000;

/** Whether the job was refused; a cancelled job doesn't count, because its caller requested that. */
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

const share = (part: number, whole: number): number => whole === 0 ? 0 : Math.round(part / whole * shareScale) / shareScale;

const measureKind = (jobs: readonly CallerJob[], faults: readonly Fault[], faultsOfKind: readonly Fault[]): Unavailability => {
	const firstCalls = jobs.flatMap(({calls}) => calls.slice(0, 1));
	const duringFaults = firstCalls.filter(({sentAt}) => faultsOfKind.some(({at, until}) => sentAt >= at && sentAt < until));
	const recoveryTimes = faultsOfKind.map(fault => {
		const afterFault = firstCalls.filter(({sentAt}) => sentAt >= fault.until && sentAt < fault.until + recoveryWindowMs);
		const isolated = afterFault.filter(({endedAt = Number.POSITIVE_INFINITY}) =>
			faults.every(other => other === fault || endedAt < other.at || other.until + recoveryWindowMs < fault.at));
		const notServed = isolated.filter(call => isRefused(call) || isUnknown(call));
		return Math.max(0, ...notServed.map(({sentAt}) => sentAt - fault.until));
	});
	return {
		jobs: duringFaults.length,
		refused: share(duringFaults.filter(call => isRefused(call)).length, duringFaults.length),
		unknown: share(duringFaults.filter(call => isUnknown(call)).length, duringFaults.length),
		wholeAfterMs: Math.round(Math.max(0, ...recoveryTimes)),
	};
};

/** Figures for each kind of fault of a run, and under `none` for jobs submitted between `from` and `until` that no fault affected. */
export const measureUnavailability = (jobs: readonly CallerJob[], faults: readonly Fault[], from: number, until: number): Record<string, Unavailability> => {
	const kinds = [...new Set(faults.map(({kind}) => kind))].toSorted((left, right) => left < right ? -1 : 1);
	const figures: Record<string, Unavailability> = {};
	for (const kind of kinds) {
		figures[kind] = measureKind(jobs, faults, faults.filter(fault => fault.kind === kind));
	}

	const calmJobs = jobs.filter(({submittedAt}) => submittedAt >= from && faults.every(fault => submittedAt < fault.at || submittedAt >= fault.until + recoveryWindowMs));
	const wholeRun: Fault = {kind: 'kill', at: from, until};
	figures.none = {...measureKind(calmJobs, faults, [wholeRun]), wholeAfterMs: 0};
	return figures;
};
