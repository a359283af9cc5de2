/** Arguments of `chivestream-stand-in`, checked before anything starts. */
import {z} from 'zod';
import {startBalancerStandIn} from './balancer.js';
import {startGroup} from './group.js';
import {startHostsStandIn} from './hosts.js';
import {startLogStandIn} from './log.js';
import {startMinionStandIn} from './minion.js';
import {startWorkerStandIn} from './worker.js';

/** A stand-in of any kind, or a group of one kind in one process. */
export type StandIn = {
	address: string;
	/** Addresses of all members of a group. */
	addresses?: string[];
	/** Where a balancer is told of its targets. */
	controlAddress?: string;
	close: () => Promise<void>;
};

/** How to start the stand-in that the arguments ask for, or what is wrong with them. */
export type ParsedCommand = {start: () => Promise<StandIn>} | {faults: string[]};

type Kind = (flags: Record<string, unknown>) => ParsedCommand;

const createKind = <Options>(schema: z.ZodType<Options>, start: (options: Options) => Promise<StandIn>): Kind => flags => {
	const parsed = schema.safeParse(flags);
	if (!parsed.success) {
		return {faults: parsed.error.issues.map(issue => `--${issue.path.join('.')}: ${issue.message}`)};
	}

	return {start: async () => start(parsed.data)};
};

const count = z.coerce.number().int().min(1);
const amount = z.coerce.number().min(0);
const speed = z.coerce.number().positive();
const common = {
	listen: z.string().regex(/^[\d.]+:\d+$/v, 'must be ip:port').default('127.0.0.1:0'),
	seed: z.coerce.number().int().default(1),
};
const group = {
	id: z.string().optional(),
	/** How many stand-ins run in the process, each at its own address. */
	count: count.default(1),
	speed: speed.optional(),
	/** Speeds of the members of a group, used in turn. */
	speeds: z.string().transform(text => text.split(',').map(Number)).pipe(z.array(z.number().positive())).optional(),
};

const splitTargets = (text: string) => text
	.split(',')
	.filter(address => address !== '')
	.map(address => ({address}));

const kinds = new Map<string, Kind>([
	['log', createKind(z.strictObject({...common, maxRecords: count.optional(), maxAgeMs: amount.optional()}), startLogStandIn)],
	['hosts', createKind(z.strictObject({...common, lagMs: amount.optional()}), startHostsStandIn)],
	['minion', createKind(z.strictObject({
		...common,
		...group,
		slots: count.optional(),
		maxConnections: count.optional(),
	}), async options => startGroup(options, startMinionStandIn))],
	['worker', createKind(z.strictObject({
		...common,
		...group,
		cores: amount.optional(),
		memoryMb: amount.optional(),
		accelerators: amount.optional(),
		usageLagMs: amount.optional(),
		clockOffsetMs: z.coerce.number().optional(),
		longestLeaseMs: amount.optional(),
	}), async options => startGroup(options, startWorkerStandIn))],
	['balancer', createKind(z.strictObject({
		...common,
		controlListen: z.string().optional(),
		targets: z.string().default('').transform(text => splitTargets(text)),
		spread: z.enum(['round-robin', 'random']).optional(),
		healthIntervalMs: count.optional(),
	}), startBalancerStandIn)],
]);

/** Kinds of stand-ins that the program can start. */
export const standInKinds = [...kinds.keys()];

/** Checks the kind and the flags, named in camel case. */
export const parseCommand = (kindName = '(none)', flags: Record<string, unknown> = {}): ParsedCommand => {
	const kind = kinds.get(kindName);
	return kind ? kind(flags) : {faults: [`unknown kind ${kindName}: use one of ${standInKinds.join(', ')}`]};
};
