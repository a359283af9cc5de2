/** Arguments of `chivestream-stand-in`, checked before anything starts. */
import {z} from 'zod';
import {startBalancerStandIn} from './balancer.js';
import {startHostsStandIn} from './hosts.js';
import {startLogStandIn} from './log.js';
import {startMinionStandIn} from './minion.js';
import {startWorkerStandIn} from './worker.js';

/** A stand-in of any kind. */
export type StandIn = {
	address: string;
	controlAddress?: string;
	close: () => Promise<void>;
};

const count = z.coerce.number().int().min(1);
const length = z.coerce.number().min(0);
const amount = z.coerce.number().min(0);
const common = {
	listen: z.string().regex(/^[\d.]+:\d+$/v, 'must be ip:port').default('127.0.0.1:0'),
	seed: z.coerce.number().int().default(1),
};

const targets = z.string().default('').transform(text => text
	.split(',')
	.filter(address => address !== '')
	.map(address => ({address})));

const kinds = {
	log: {
		options: z.strictObject({...common, maxRecords: count.optional(), maxAgeMs: length.optional()}),
		start: startLogStandIn,
	},
	hosts: {
		options: z.strictObject({...common, lagMs: length.optional()}),
		start: startHostsStandIn,
	},
	minion: {
		options: z.strictObject({
			...common,
			id: z.string().optional(),
			slots: count.optional(),
			speed: z.coerce.number().positive().optional(),
			maxConnections: count.optional(),
		}),
		start: startMinionStandIn,
	},
	worker: {
		options: z.strictObject({
			...common,
			id: z.string().optional(),
			speed: z.coerce.number().positive().optional(),
			cores: amount.optional(),
			memoryMb: amount.optional(),
			accelerators: amount.optional(),
			usageLagMs: length.optional(),
			clockOffsetMs: z.coerce.number().optional(),
			longestLeaseMs: length.optional(),
		}),
		start: startWorkerStandIn,
	},
	balancer: {
		options: z.strictObject({
			...common,
			controlListen: z.string().optional(),
			targets,
			spread: z.enum(['round-robin', 'random']).optional(),
			healthIntervalMs: count.optional(),
		}),
		start: startBalancerStandIn,
	},
} as const;

/** Kinds of stand-ins that the program can start. */
export const standInKinds = Object.keys(kinds);

/** How to start the stand-in that the arguments ask for, or what is wrong with them. */
export type ParsedCommand = {start: () => Promise<StandIn>} | {faults: string[]};

const parseOptions = <Options>(
	schema: z.ZodType<Options>,
	start: (options: Options) => Promise<StandIn>,
	flags: Record<string, unknown>,
): ParsedCommand => {
	const parsed = schema.safeParse(flags);
	if (!parsed.success) {
		return {faults: parsed.error.issues.map(issue => `--${issue.path.join('.')}: ${issue.message}`)};
	}

	return {start: async () => start(parsed.data)};
};

/** Checks the kind and the flags, named in camel case. */
export const parseCommand = (kind: string | undefined, flags: Record<string, unknown>): ParsedCommand => {
	switch (kind ?? '') {
		case 'log': {
			return parseOptions(kinds.log.options, kinds.log.start, flags);
		}

		case 'hosts': {
			return parseOptions(kinds.hosts.options, kinds.hosts.start, flags);
		}

		case 'minion': {
			return parseOptions(kinds.minion.options, kinds.minion.start, flags);
		}

		case 'worker': {
			return parseOptions(kinds.worker.options, kinds.worker.start, flags);
		}

		case 'balancer': {
			return parseOptions(kinds.balancer.options, kinds.balancer.start, flags);
		}

		default: {
			return {faults: [`unknown kind ${kind ?? '(none)'}: use one of ${standInKinds.join(', ')}`]};
		}
	}
};
