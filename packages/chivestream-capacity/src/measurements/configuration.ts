/** What the configuration costs each host: the fold over the log, the snapshots and the bytes read. */
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
const largestTeams = 120;
const recordSchema = z.object({offset: z.number(), at: z.number(), value: z.unknown()});
const firstAt = 1_790_000_000_000;
const author = 'owner@control-room';

type FoldRun = {state: State; readBytes: number};

const apply = ({state, readBytes}: FoldRun, change: Change): FoldRun => {
	const {version, offset} = state.configuration;
	const value: Command = {
		kind: 'command', commandId: `command-${version}-5f0e8c1a`, baseVersion: version, author, change,
	};
	const text = JSON.stringify({offset: offset + 1, at: firstAt + offset, value});
	const next = applyRecord(state, recordSchema.parse(JSON.parse(text)));
	if (next.configuration.version !== version + 1) {
		throw new Error(`the fold refused a change: ${next.verdicts.at(-1)?.reasons.join('; ')}`);
	}

	return {state: next, readBytes: readBytes + text.length};
};

const start = (workers: number, teams: number): FoldRun => {
	const {state} = apply({state: initialState, readBytes: 0}, {kind: 'replace', declarations: createDeclarations(workers, teams)});
	return {state, readBytes: 0};
};

const applyMany = (run: FoldRun, count: number, createChange: (index: number) => Change): FoldRun => {
	let current = run;
	for (let index = 0; index < count; index++) {
		current = apply(current, createChange(index));
	}

	return current;
};

const setTeam = (index: number): Change => ({kind: 'team', team: `team-${index % fixedTeams}`, maxTasksInFlight: 1000 + index});

const editWorker = (workers: number) => (index: number): Change => {
	const worker = createWorker(index % workers);
	return {kind: 'edit', set: {[`worker/${sampleUpstream}/${worker.id}`]: {...worker, memoryMb: 65_536 + index}}, remove: []};
};

const drainWorker = (workers: number) => (index: number): Change => ({kind: 'drain', ids: [`worker-${index % workers}`]});

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

const measureDeclared = async (workers: number, teams: number) => {
	const run = start(workers, teams);
	const perChange = async (createChange: (index: number) => Change) => {
		const cpuMs = await measureCpuMs(() => {
			applyMany(run, changesPerSample, createChange);
		});
		return cpuMs / changesPerSample;
	};

	const snapshot = await measureSnapshot(run.state);
	return {
		team: await perChange(setTeam),
		drain: await perChange(drainWorker(workers)),
		edit: await perChange(editWorker(workers)),
		snapshotBytes: snapshot.bytes,
		snapshotParts: snapshot.parts,
		snapshotWrite: snapshot.write,
		snapshotRestore: snapshot.restore,
	};
};

const measureChangeCount = async (changes: number) => {
	const run = start(fixedWorkers, fixedTeams);
	let readBytes = 0;
	let state: State | undefined;
	const fold = await measureCpuMs(() => {
		({readBytes, state} = applyMany(run, changes, setTeam));
	});
	const {bytes: snapshotBytes} = await measureSnapshot(state ?? run.state);
	return {fold, readBytes, snapshotBytes};
};

const declaredUnits = {
	team: 'ms of CPU per change',
	drain: 'ms of CPU per change',
	edit: 'ms of CPU per change',
	snapshotBytes: 'bytes',
	snapshotParts: 'records',
	snapshotWrite: 'ms of CPU',
	snapshotRestore: 'ms of CPU',
};

/** Figures by number of workers, with 120 teams. */
export const measureConfigurationByWorkers = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'configuration-by-workers', size: 'workers', units: declaredUnits, measure: async size => measureDeclared(size, largestTeams),
}, sampling);

/** Figures by number of teams, with 300 workers. */
export const measureConfigurationByTeams = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'configuration-by-teams', size: 'teams', units: declaredUnits, measure: async size => measureDeclared(fixedWorkers, size),
}, sampling);

/** Figures by number of changes of quotas, with 300 workers and 12 teams. */
export const measureConfigurationByChanges = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'configuration-by-changes',
	size: 'changes',
	units: {fold: 'ms of CPU', readBytes: 'bytes read by each host', snapshotBytes: 'bytes'},
	measure: measureChangeCount,
}, sampling);
