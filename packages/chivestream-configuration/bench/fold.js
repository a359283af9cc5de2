/**
Measures the fold: the time and bytes of a day's changes and the size of a snapshot, for several numbers of workers. Prints one
JSON object per line. Run it after a build.
*/
import process from 'node:process';
import {
	applyChange, applyPage, applyRecord, createSnapshot, declarationsSchema, formatState, initialReader, initialState, nextOffset, parseState, planChange,
} from '../dist/index.js';

const changes = 13_000;
const teamCount = 120;
const pageLimit = 500;
const workerCounts = [1000, 2000, 3000, 4500];
const hostsPerRack = 8;
const zoneNames = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i'];

const createDeclarations = workerCount => ({
	upstreams: {
		lens: {
			workers: Array.from({length: workerCount}, (_, index) => ({
				id: `worker-${index}`,
				zone: zoneNames[index % zoneNames.length],
				rack: `rack-${Math.floor(index / hostsPerRack)}`,
				address: `10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:5000`,
				cores: 64,
				memoryMb: 131_072,
			})),
		},
	},
	teams: Object.fromEntries(Array.from({length: teamCount}, (_, index) => [`team-${index}`, {maxTasksInFlight: 10_000}])),
	objectives: Array.from({length: teamCount}, (_, index) => ({
		name: `objective-${index}`, upstream: 'lens', team: `team-${index}`, targetMs: 500, goal: 0.99,
	})),
});

const createChange = (index, workerCount) => {
	const worker = `worker-${Math.floor(index / 2) % workerCount}`;
	if (index % 10 === 9) {
		return {kind: 'team', team: `team-${index % teamCount}`, maxTasksInFlight: 1000 + index};
	}

	return {kind: index % 2 === 0 ? 'drain' : 'undrain', ids: [worker]};
};

const createRecords = workerCount => {
	const replace = {kind: 'replace', declarations: createDeclarations(workerCount)};
	const commands = [replace, ...Array.from({length: changes}, (_, index) => createChange(index, workerCount))];
	return commands.map((change, index) => ({
		offset: index,
		at: 0,
		value: {
			kind: 'command', commandId: `0190b7a2-7a51-7c8e-9a3b-${String(index).padStart(12, '0')}`, baseVersion: index, author: 'owner', change,
		},
	}));
};

const measureMs = run => {
	const startedAt = process.hrtime.bigint();
	const result = run();
	return {result, ms: Number(process.hrtime.bigint() - startedAt) / 1e6};
};

const readAll = records => {
	let reader = initialReader;
	while (nextOffset(reader) < records.length) {
		const from = nextOffset(reader);
		reader = applyPage(reader, {records: records.slice(from, from + pageLimit), first: 0, next: records.length});
	}

	return reader.state;
};

for (const workerCount of workerCounts) {
	const records = createRecords(workerCount);
	const [replace, ...others] = records;
	const first = measureMs(() => applyRecord(initialState, replace));
	const all = measureMs(() => readAll(records));
	const snapshot = measureMs(() => createSnapshot(all.result));
	const restored = measureMs(() => parseState(formatState(all.result)));
	const current = declarationsSchema.parse(createDeclarations(workerCount));
	const target = declarationsSchema.parse(createDeclarations(workerCount));
	target.upstreams.lens.workers[0].cores = 32;
	const plan = measureMs(() => planChange(current, target));
	const edit = measureMs(() => applyChange(current, plan.result));
	const changeBytes = others.reduce((sum, {value}) => sum + JSON.stringify(value).length, 0);
	console.log(JSON.stringify({
		workers: workerCount,
		teams: teamCount,
		changes,
		acceptedVersions: all.result.configuration.version,
		replaceMs: Math.round(first.ms * 10) / 10,
		foldAllMs: Math.round(all.ms),
		foldEachUs: Math.round((all.ms - first.ms) / changes * 1000),
		replaceBytes: JSON.stringify(replace.value).length,
		planMs: Math.round(plan.ms),
		editMs: Math.round(edit.ms),
		editBytes: JSON.stringify(plan.result).length,
		changeBytesEach: Math.round(changeBytes / changes),
		snapshotBytes: formatState(all.result).length,
		snapshotParts: snapshot.result.length,
		snapshotMs: Math.round(snapshot.ms),
		restoreMs: Math.round(restored.ms),
		verdictBytes: JSON.stringify(all.result.verdicts).length,
		heapMb: Math.round(process.memoryUsage().heapUsed / 1_048_576),
	}));
}
