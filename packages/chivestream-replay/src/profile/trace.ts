/** The trace format: JSON Lines, a deployment first and then events in order of time. */
import {readFileSync, writeFileSync} from 'node:fs';
import {preference} from 'chivestream-core';
import {z as zod} from 'zod';

const id = zod.string().min(1).max(100);
const time = zod.number().nonnegative();
const lengthMs = zod.number().positive();

const deploymentSchema = zod.strictObject({
	kind: zod.literal('deployment'),
	format: zod.literal(1),
	profile: zod.string(),
	load: zod.number().positive(),
	seed: zod.number().int(),
	fault: zod.string(),
	/** Jobs that arrive before this time are not measured. */
	warmUpUntil: time,
	/** No job arrives from this time on. */
	endsAt: time,
	preference: zod.enum([preference.responseTime, preference.fewMessages]),
	oneWayMs: zod.strictObject({
		caller: zod.number().nonnegative(),
		withinZone: zod.number().nonnegative(),
		betweenZones: zod.number().nonnegative(),
	}),
	hosts: zod.array(zod.strictObject({id, zone: id})).min(1),
	minions: zod.array(zod.strictObject({
		id, zone: id, slots: zod.number().int().positive(), connections: zod.number().int().positive(), speed: zod.number().positive(),
	})).min(1),
	teams: zod.array(zod.strictObject({name: id, weight: zod.number().positive(), maxTasksInFlight: zod.number().int().positive()})).min(1),
	retryRatio: zod.number().min(0).max(1),
});

/** What a job of a trace may end as. */
export const statedOutcome = {
	complete: 'complete',
	completeOrRefused: 'complete-or-refused',
	completeOrCancelled: 'complete-or-cancelled',
	any: 'any',
} as const;

const jobSchema = zod.strictObject({
	kind: zod.literal('job'),
	at: time,
	key: id,
	team: id,
	/** Entry host that the balancer picks. */
	hostId: id,
	deadline: time,
	/** `workMs` is the run time on a minion of speed 1, `declaredMs` what the caller says. */
	tasks: zod.array(zod.strictObject({workMs: lengthMs, declaredMs: lengthMs})).min(1).max(180),
	outcome: zod.enum(statedOutcome),
});

const eventSchema = zod.discriminatedUnion('kind', [
	jobSchema,
	zod.strictObject({kind: zod.literal('cancel'), at: time, key: id}),
	zod.strictObject({
		kind: zod.literal('minion-slows'), at: time, minionId: id, factor: zod.number().positive(),
	}),
	zod.strictObject({kind: zod.literal('minion-fails'), at: time, minionId: id}),
	zod.strictObject({kind: zod.literal('minion-hangs'), at: time, minionId: id}),
	zod.strictObject({kind: zod.literal('host-killed'), at: time, hostId: id}),
	zod.strictObject({
		kind: zod.literal('zone-cut'), at: time, zone: id, until: time,
	}),
]);

/** The deployment on which a trace was taken. */
export type Deployment = zod.infer<typeof deploymentSchema>;

/** A job of a trace. */
export type JobEvent = zod.infer<typeof jobSchema>;

/** Anything that happens in a trace. */
export type TraceEvent = zod.infer<typeof eventSchema>;

/** One of the stated outcomes. */
export type StatedOutcome = JobEvent['outcome'];

/** A deployment and what happened there. */
export type Trace = {
	deployment: Deployment;
	events: TraceEvent[];
};

const describe = (error: zod.ZodError): string =>
	error.issues.map(({path, message}) => `${path.join('.') || 'line'}: ${message}`).join('; ');

const parseLine = <Value>(schema: zod.ZodType<Value>, line: string, lineNumber: number): Value => {
	let value: unknown;
	try {
		value = JSON.parse(line);
	} catch (error) {
		throw new Error(`trace line ${lineNumber} is not JSON; write one object a line`, {cause: error});
	}

	const parsed = schema.safeParse(value);
	if (!parsed.success) {
		throw new Error(`trace line ${lineNumber}: ${describe(parsed.error)}`);
	}

	return parsed.data;
};

const checkUnique = (ids: readonly string[], what: string): void => {
	if (new Set(ids).size !== ids.length) {
		throw new Error(`trace line 1: two ${what} have the same id; give each its own`);
	}
};

const checkReferences = (event: TraceEvent, lineNumber: number, known: Record<'hosts' | 'minions' | 'teams' | 'zones' | 'keys', Set<string>>): void => {
	const check = (isKnown: boolean, field: string) => {
		if (!isKnown) {
			throw new Error(`trace line ${lineNumber}: ${field} names nothing that the trace declared before`);
		}
	};

	switch (event.kind) {
		case 'job': {
			check(known.hosts.has(event.hostId), 'hostId');
			check(known.teams.has(event.team), 'team');
			if (known.keys.has(event.key) || event.deadline <= event.at) {
				throw new Error(`trace line ${lineNumber}: a key must be new and its deadline after "at"`);
			}

			known.keys.add(event.key);
			break;
		}

		case 'cancel': {
			check(known.keys.has(event.key), 'key');
			break;
		}

		case 'host-killed': {
			check(known.hosts.has(event.hostId), 'hostId');
			break;
		}

		case 'zone-cut': {
			check(known.zones.has(event.zone), 'zone');
			break;
		}

		case 'minion-slows':
		case 'minion-fails':
		case 'minion-hangs': {
			check(known.minions.has(event.minionId), 'minionId');
		}
	}
};

/** Reads a trace from its text; the error names the line, the field and the fix. */
export const parseTrace = (text: string): Trace => {
	const [first = '', ...rest] = text.split('\n').filter(line => line.trim() !== '');
	const deployment = parseLine(deploymentSchema, first, 1);
	const {hosts, minions, teams} = deployment;
	checkUnique(hosts.map(host => host.id), 'hosts');
	checkUnique(minions.map(minion => minion.id), 'minions');
	checkUnique(teams.map(team => team.name), 'teams');
	const known = {
		hosts: new Set(hosts.map(host => host.id)),
		minions: new Set(minions.map(minion => minion.id)),
		teams: new Set(teams.map(team => team.name)),
		zones: new Set(hosts.map(host => host.zone)),
		keys: new Set<string>(),
	};
	let last = 0;
	const events = rest.map((line, index) => {
		const lineNumber = index + 2;
		const event = parseLine(eventSchema, line, lineNumber);
		if (event.at < last) {
			throw new Error(`trace line ${lineNumber}: "at" is before that of the line above; sort events by time`);
		}

		last = event.at;
		checkReferences(event, lineNumber, known);
		return event;
	});
	return {deployment, events};
};

/** A trace as text. */
export const formatTrace = ({deployment, events}: Trace): string =>
	[deployment, ...events].map(line => JSON.stringify(line)).join('\n') + '\n';

/** Reads a trace file. */
export const readTrace = (file: string): Trace => parseTrace(readFileSync(file, 'utf8'));

/** Writes a trace file. */
export const writeTrace = (file: string, trace: Trace): void => {
	writeFileSync(file, formatTrace(trace));
};
