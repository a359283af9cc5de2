/** Sample declarations for measurements. */
import {type Configuration, type Declarations, type Worker} from 'chivestream-core';
import {declarationsSchema} from 'chivestream-configuration';

const zoneCount = 9;
const workersPerRack = 40;
const cores = 32;
const memoryMb = 131_072;
const maxTasksInFlight = 20_000;

/** The only upstream of the sample declarations. */
export const sampleUpstream = 'lens';

/** Creates a worker with 32 cores. Without a zone, consecutive indexes rotate through nine zones. */
export const createWorker = (index: number, zone = `zone-${index % zoneCount}`): Worker => ({
	id: `worker-${index}`,
	zone,
	rack: `${zone}-rack-${Math.floor(index / workersPerRack)}`,
	address: `10.${Math.floor(index / 65_536)}.${Math.floor(index / 256) % 256}.${index % 256}:5000`,
	cores,
	memoryMb,
	accelerators: 0,
});

/** Creates declarations with the given numbers of workers and teams. Without a zone, the workers are spread over nine zones. */
export const createDeclarations = (workers: number, teams: number, zone?: string): Declarations => declarationsSchema.parse({
	upstreams: {
		[sampleUpstream]: {minions: [], workers: Array.from({length: workers}, (_, index) => createWorker(index, zone))},
	},
	teams: Object.fromEntries(Array.from({length: teams}, (_, index) => [`team-${index}`, {weight: 1, maxTasksInFlight}])),
});

/** Creates version 1 of a configuration. */
export const createConfiguration = (declarations: Declarations): Configuration => ({version: 1, offset: 0, declarations});
