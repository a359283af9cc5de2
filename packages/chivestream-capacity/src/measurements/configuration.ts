/** Cost of the configuration on each host: the fold over the log, the snapshots and the bytes read. */
import {
	applyRecord, createSnapshot, initialState, parseState, type Change, type Command, type State,
} from 'chivestream-configuration';
import {z} from 'zod';
import {measureSlopes, type Sampling, type Slope} from '../slope.js';
import {measureCpuMs} from '../usage.js';
import {createDeclarations, createWorker, sampleUpstream} from './sample-declarations.js';

const changesPerSample = 5;
const fixedWorkers = 300;
const fixedTeams = 12;
const maxTeams = 120;
const recordSchema = z.object({offset: z.number(), at: z.number(), value: z.unknown()});
const firstRecordAt = 1_790_000_000_000; // Epoch milliseconds
const author = 'owner@control-room';

/** State after folding records, and the length of their JSON. */
type FoldResult = {state: State; readBytes: number};

/** Folds one change from its JSON, as a host reads it; throws when the fold refuses it. */
const apply = ({state, readBytes}: FoldResult, change: Change): FoldResult => {
	const {version, offset} = state.configuration;
	const value: Command = {
		kind: 'command', commandId: `command-${version}-5f0e8c1a`, baseVersion: version, author, change,
	};
	const text = JSON.stringify({offset: offset + 1, at: firstRecordAt + offset, value});
	const next = applyRecord(state, recordSchema.parse(JSON.parse(text)));
	if (next.configuration.version !== version + 1) {
		throw new Error(`the configuration fold refused a change: ${next.verdicts.at(-1)?.reasons.join('; ')}`);
	}

	return {state: next, readBytes: readBytes + text.length};
};

/** State with declarations of the given size; their own record does not count towards `readBytes`. */
const start = (workers: number, teams: number): FoldResult => {
	const {state} = apply({state: initialState, readBytes: 0}, {kind: 'replace', declarations: createDeclarations(workers, teams)});
	return {state, readBytes: 0};
};

const applyMany = (initial: FoldResult, count: number, createChange: (index: number) => Change): FoldResult => {
	let current = initial;
	for (let index = 0; index < count; index++) {
		current = apply(current, createChange(index));
	}

	return current;
};

const quotaChange = (index: number): Change => ({kind: 'team', team: `team-${index % fixedTeams}`, maxTasksInFlight: 1000 + index});

const workerEdit = (workers: number) => (index: number): Change => {
	const worker = createWorker(index % workers);
	return {kind: 'edit', set: {[`worker/${sampleUpstream}/${worker.id}`]: {...worker, memoryMb: 65_536 + index}}, remove: []};
};

const workerDrain = (workers: number) => (index: number): Change => ({kind: 'drain', ids: [`worker-${index % workers}`]});

const measureSnapshot = async (state: State) => {
	let parts = createSnapshot(state);
	const write = await measureCpuMs(() => {
		parts = createSnapshot(state);
	});
	const bytes = parts.reduce((sum, part) => sum + JSON.stringify(part).length, 0);
	const text = parts.map(part => part.text).join('');
	const restore = await measureCpuMs(() => {
		if (!parseState(text)) {
			throw new Error('the snapshot could not be restored');
		}
	});
	return {
		bytes, write, restore, parts: parts.length,
	};
};

const measureDeclarations = async (workers: number, teams: number) => {
	const initial = start(workers, teams);
	const cpuMsPerChange = async (createChange: (index: number) => Change) => {
		const cpuMs = await measureCpuMs(() => {
			applyMany(initial, changesPerSample, createChange);
		});
		return cpuMs / changesPerSample;
	};

	const snapshot = await measureSnapshot(initial.state);
	return {
		team: await cpuMsPerChange(quotaChange),
		drain: await cpuMsPerChange(workerDrain(workers)),
		edit: await cpuMsPerChange(workerEdit(workers)),
		snapshotBytes: snapshot.bytes,
		snapshotParts: snapshot.parts,
		snapshotWrite: snapshot.write,
		snapshotRestore: snapshot.restore,
	};
};

const measureChangeCount = async (changes: number) => {
	const initial = start(fixedWorkers, fixedTeams);
	let readBytes = 0;
	let state: State | undefined;
	const fold = await measureCpuMs(() => {
		({readBytes, state} = applyMany(initial, changes, quotaChange));
	});
	const {bytes: snapshotBytes} = await measureSnapshot(state ?? initial.state);
	return {fold, readBytes, snapshotBytes};
};

const declarationUnits = {
	team: 'ms of CPU per change',
	drain: 'ms of CPU per change',
	edit: 'ms of CPU per change',
	snapshotBytes: 'bytes',
	snapshotParts: 'records',
	snapshotWrite: 'ms of CPU',
	snapshotRestore: 'ms of CPU',
};

/** Metrics by number of workers, with 120 teams. */
export const measureConfigurationByWorkers = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'configuration-by-workers', size: 'workers', units: declarationUnits, measure: async size => measureDeclarations(size, maxTeams),
}, sampling);

/** Metrics by number of teams, with 300 workers. */
export const measureConfigurationByTeams = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'configuration-by-teams', size: 'teams', units: declarationUnits, measure: async size => measureDeclarations(fixedWorkers, size),
}, sampling);

/** Metrics by number of quota changes, with 300 workers and 12 teams. */
export const measureConfigurationByChanges = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'configuration-by-changes',
	size: 'changes',
	units: {fold: 'ms of CPU', readBytes: 'bytes read by each host', snapshotBytes: 'bytes'},
	measure: measureChangeCount,
}, sampling);
