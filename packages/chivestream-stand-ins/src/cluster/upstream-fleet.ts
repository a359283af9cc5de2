/** The minions of one upstream over all zones, as stand-in processes. */
import {z} from 'zod';
import {request} from 'undici';
import {launchStandIn, type LaunchedStandIn} from './launched-stand-in.js';

/** What to start. */
export type FleetOptions = {
	upstream: string;
	zones: readonly string[];
	minionsPerZone: number;
	/** Speeds of the minions, used in turn in each zone. */
	speeds: readonly number[];
	seed: number;
};

/** One minion with its speed. */
export type FleetMinion = {
	id: string;
	zone: string;
	address: string;
	slots: number;
	connections: number;
	speed: number;
};

/** The minions of one upstream. */
export type Fleet = {
	upstream: string;
	minions: FleetMinion[];
	processes: Array<LaunchedStandIn['process']>;
};

/** What a minion or worker stand-in counted. */
export const startReportSchema = z.object({
	starts: z.record(z.string(), z.number()),
	total: z.number(),
	requests: z.number(),
	refused: z.number(),
	mostRunning: z.number(),
	mostConnections: z.number(),
	lastStartAt: z.number().optional(),
});

/** What a minion or worker stand-in counted. */
export type CountedStarts = z.infer<typeof startReportSchema>;

const slots = 8;
const connections = 64;

const launchZone = async (options: FleetOptions, zone: string, zoneIndex: number): Promise<{standIn: LaunchedStandIn; minions: FleetMinion[]}> => {
	const id = `${options.upstream}-${zone}`;
	const standIn = await launchStandIn('minion', {
		id,
		count: options.minionsPerZone,
		speeds: options.speeds.join(','),
		slots,
		'max-connections': connections,
		seed: options.seed + (zoneIndex * options.minionsPerZone),
	});
	const minions = standIn.addresses.map((address, index) => ({
		id: `${id}-${index}`, zone, address, slots, connections, speed: options.speeds[index % options.speeds.length] ?? 1,
	}));
	return {standIn, minions};
};

/** Starts one stand-in process for each zone, with all minions of the upstream there. */
export const launchFleet = async (options: FleetOptions): Promise<Fleet> => {
	const zones = await Promise.all(options.zones.map(async (zone, index) => launchZone(options, zone, index)));
	return {
		upstream: options.upstream,
		minions: zones.flatMap(({minions}) => minions),
		processes: zones.map(({standIn}) => standIn.process),
	};
};

/** Reads what the stand-in at an address counted. */
export const readStarts = async (address: string): Promise<CountedStarts> => {
	const {body} = await request(`http://${address}/starts`);
	return startReportSchema.parse(await body.json());
};
