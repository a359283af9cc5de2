/** Turns a trace without fault into one with a fault. */
import {type Random, randomInteger} from 'chivestream-core';
import {
	type JobEvent, type StatedOutcome, statedOutcome, type Trace, type TraceEvent,
} from './trace.js';

/** What a fault makes of a trace. */
export type Fault = (trace: Trace, random: Random) => TraceEvent[];

const stragglerFactor = 10;
const wrongFactor = 10;
const burstLengthMs = 1000;
const cutLengthMs = 10_000;
const waveIntervalMs = 5000;
const waveWindowMs = 1000;
const waveShare = 0.3;

const faultTime = ({deployment}: Trace): number => (deployment.warmUpUntil + deployment.endsAt) / 2;

const isJob = (event: TraceEvent): event is JobEvent => event.kind === 'job';

const withOutcome = (events: TraceEvent[], outcome: StatedOutcome): TraceEvent[] =>
	events.map(event => isJob(event) && event.outcome === statedOutcome.complete ? {...event, outcome} : event);

const pickMinion = ({deployment}: Trace, random: Random): string => deployment.minions[randomInteger(random, deployment.minions.length)]!.id;

const straggler: Fault = (trace, random) => [
	...trace.events,
	{
		kind: 'minion-slows', at: faultTime(trace), minionId: pickMinion(trace, random), factor: stragglerFactor,
	},
];

const failingMinion: Fault = (trace, random) => [
	...withOutcome(trace.events, statedOutcome.any),
	{kind: 'minion-fails', at: faultTime(trace), minionId: pickMinion(trace, random)},
];

const hangingMinion: Fault = (trace, random) => [
	...withOutcome(trace.events, statedOutcome.any),
	{kind: 'minion-hangs', at: faultTime(trace), minionId: pickMinion(trace, random)},
];

const wrongSizes: Fault = (trace, random) => trace.events.map(event => {
	if (!isJob(event)) {
		return event;
	}

	const tasks = event.tasks.map(task => ({...task, declaredMs: task.workMs * (random() < 0.5 ? wrongFactor : 1 / wrongFactor)}));
	return {...event, tasks};
});

/** All teams submit within a moment what they submit in a second. */
const burst: Fault = trace => {
	const at = faultTime(trace);
	const copied = trace.events.filter(event => isJob(event)).filter(event => event.at >= at && event.at < at + burstLengthMs);
	const copies = copied.map((event): JobEvent => ({
		...event, at, key: `burst-${event.key}`, deadline: at + (event.deadline - event.at),
	}));
	return [...trace.events, ...copies];
};

/** Again and again, a part of the jobs that came within the last second is cancelled at one moment. */
const cancellationWave: Fault = (trace, random) => {
	const events: TraceEvent[] = [];
	for (const event of trace.events) {
		const waveAt = Math.ceil(event.at / waveIntervalMs) * waveIntervalMs;
		const isHit = isJob(event) && waveAt - event.at < waveWindowMs && random() < waveShare;
		events.push(isHit ? {...event, outcome: statedOutcome.completeOrCancelled} : event);
		if (isHit) {
			events.push({kind: 'cancel', at: waveAt, key: event.key});
		}
	}

	return events;
};

const hostKilled: Fault = (trace, random) => {
	const host = trace.deployment.hosts[randomInteger(random, trace.deployment.hosts.length)]!;
	const at = faultTime(trace);
	const events = trace.events.map(event => isJob(event) && event.hostId === host.id ? {...event, outcome: statedOutcome.any} : event);
	return [...events, {kind: 'host-killed', at, hostId: host.id}];
};

const zoneCut: Fault = (trace, random) => {
	const {zone} = trace.deployment.hosts[randomInteger(random, trace.deployment.hosts.length)]!;
	const at = faultTime(trace);
	return [...trace.events, {
		kind: 'zone-cut', at, zone, until: at + cutLengthMs,
	}];
};

/** Every fault by its name. */
export const faults: Record<string, Fault> = {
	none: ({events}) => events,
	straggler,
	'failing-minion': failingMinion,
	'hanging-minion': hangingMinion,
	'wrong-sizes': wrongSizes,
	burst,
	'cancellation-wave': cancellationWave,
	'host-killed': hostKilled,
	'zone-cut': zoneCut,
};

/** A trace in which the fault happens. */
export const injectFault = (trace: Trace, name: string, random: Random): Trace => {
	const fault = Object.hasOwn(faults, name) ? faults[name] : undefined;
	if (!fault) {
		throw new Error(`there is no fault ${name}; name one of ${Object.keys(faults).join(', ')}`);
	}

	const events = fault(trace, random).toSorted((left, right) => left.at - right.at);
	return {deployment: {...trace.deployment, fault: name}, events};
};
